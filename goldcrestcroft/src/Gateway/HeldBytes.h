#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace goldcrestcroft {

/** \brief Bodies of answers that this host holds until they are whole. Where
 * they are too many bytes together, the longest unfinished one gives way. */
class HeldBytes
{
public:
  /** A fifth of the host's 160 MB: a string that grows takes up to three
   * times its size for a moment. */
  static constexpr std::size_t kMost = 32U << 20U;

  /** \brief The part of one answer, given back at its end. */
  class Share
  {
  public:
    /** \brief aOnCut ends the reading of the answer. */
    Share(HeldBytes& aAll, std::function<void()> aOnCut);
    ~Share();
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;

    /** \brief Whether the answer may go on. */
    auto Grow(std::size_t aBytes) -> bool;
    /** \brief The answer is whole and stays. */
    auto Settle() -> void { settled_ = true; }
    [[nodiscard]] auto IsCut() const -> bool { return cut_; }

  private:
    friend class HeldBytes;
    HeldBytes& all_;
    std::function<void()> onCut_;
    std::size_t bytes_ = 0;
    bool settled_ = false;
    bool cut_ = false;
  };

  [[nodiscard]] auto Total() const -> std::size_t { return total_; }

private:
  auto CutLongest() -> void;

  std::size_t total_ = 0;
  std::set<Share*> shares_;
};

} // namespace goldcrestcroft
