#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace goldcrestcroft {

/** \brief Accounts for the response bodies that this host buffers until they
 * are complete. If their total exceeds the limit, the largest incomplete
 * response is aborted. */
class BufferedBytes
{
public:
  /** A fifth of the host's 160 MB: a growing string briefly takes up to three
   * times its size. */
  static constexpr std::size_t kMaxBytes = 32U << 20U;

  /** \brief The bytes of one response; released by the destructor. */
  class Share
  {
  public:
    /** \brief aOnAbort is called when the response is aborted, to stop reading
     * it. */
    Share(BufferedBytes& aParent, std::function<void()> aOnAbort);
    ~Share();
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;

    /** \brief Adds bytes; false if the response was aborted. */
    auto Grow(std::size_t aBytes) -> bool;
    /** \brief The response is complete and can no longer be aborted. */
    auto MarkComplete() -> void { complete_ = true; }
    [[nodiscard]] auto IsAborted() const -> bool { return aborted_; }

  private:
    friend class BufferedBytes;
    BufferedBytes& parent_;
    std::function<void()> onAbort_;
    std::size_t bytes_ = 0;
    bool complete_ = false;
    bool aborted_ = false;
  };

  [[nodiscard]] auto Total() const -> std::size_t { return total_; }

private:
  auto AbortLargest() -> void;

  std::size_t total_ = 0;
  std::set<Share*> shares_;
};

} // namespace goldcrestcroft
