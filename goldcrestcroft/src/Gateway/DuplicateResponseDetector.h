#pragma once

#include "StageCallPiece.h"

#include <algorithm>
#include <deque>

namespace goldcrestcroft {

/** \brief Distinguishes duplicates of a stage engine's earlier responses from
 * the expected response.
 *
 * A response does not state which call it belongs to, but each result has a
 * unique handle: a response with a known handle is a duplicate, and one with a
 * new handle belongs to the call that was sent last. */
class DuplicateResponseDetector
{
public:
  using Response = std::vector<PieceResult>;

  /** \brief Whether the response contains a result, so that a duplicate of it
   * can be recognized. */
  [[nodiscard]] static auto IsRecognizable(const Response& aResponse) -> bool
  {
    return FirstProduced(aResponse) != aResponse.end();
  }
  [[nodiscard]] auto IsDuplicate(const Response& aResponse) const -> bool
  {
    const auto produced = FirstProduced(aResponse);
    return produced != aResponse.end() &&
           std::find(handles_.begin(), handles_.end(), produced->handle_) !=
             handles_.end();
  }
  auto Add(const Response& aResponse) -> void
  {
    const auto produced = FirstProduced(aResponse);
    if (produced == aResponse.end()) {
      return;
    }
    handles_.push_back(produced->handle_);
    if (handles_.size() > kMaxHandles) {
      handles_.pop_front();
    }
  }

private:
  /** In responses. An engine sends four a second, so this covers a quarter of
   * a minute. */
  static constexpr std::size_t kMaxHandles = 64;

  static auto FirstProduced(const Response& aResponse)
    -> Response::const_iterator
  {
    return std::find_if(
      aResponse.begin(), aResponse.end(),
      [](const auto& aPiece) { return aPiece.end_ == PieceOutcome::Made; });
  }

  std::deque<std::string> handles_;
};

} // namespace goldcrestcroft
