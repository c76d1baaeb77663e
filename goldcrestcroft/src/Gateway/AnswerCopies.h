#pragma once

#include "StageCallPiece.h"

#include <algorithm>
#include <deque>

namespace goldcrestcroft {

/** \brief Tells second copies of a stage engine's answers from the answer that
 * is awaited.
 *
 * Answers do not say which call they belong to, but each result has a handle of
 * its own: an answer whose handle is known is a copy, and one with a handle
 * that is new belongs to the call that was sent last. */
class AnswerCopies
{
public:
  using Answer = std::vector<PieceResult>;

  /** \brief Whether it names a result, so that a copy of it can be told. */
  [[nodiscard]] static auto IsTellable(const Answer& aAnswer) -> bool
  {
    return FirstMade(aAnswer) != aAnswer.end();
  }
  [[nodiscard]] auto IsCopy(const Answer& aAnswer) const -> bool
  {
    const auto made = FirstMade(aAnswer);
    return made != aAnswer.end() && std::find(handles_.begin(), handles_.end(),
                                              made->handle_) != handles_.end();
  }
  auto Add(const Answer& aAnswer) -> void
  {
    const auto made = FirstMade(aAnswer);
    if (made == aAnswer.end()) {
      return;
    }
    handles_.push_back(made->handle_);
    if (handles_.size() > kRemembered) {
      handles_.pop_front();
    }
  }

private:
  /** Answers; an engine gives four a second, so this is a quarter minute. */
  static constexpr std::size_t kRemembered = 64;

  static auto FirstMade(const Answer& aAnswer) -> Answer::const_iterator
  {
    return std::find_if(aAnswer.begin(), aAnswer.end(), [](const auto& aPiece) {
      return aPiece.end_ == PieceEnd::Made;
    });
  }

  std::deque<std::string> handles_;
};

} // namespace goldcrestcroft
