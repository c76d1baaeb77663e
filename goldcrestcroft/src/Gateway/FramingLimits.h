#pragma once

#include <compare>
#include <cstddef>

namespace goldcrestcroft {

/** \brief Limits on what frames a body in chunks: chunk headers with their
 * extensions, and the trailer. */
struct FramingLimits
{
  /** Bytes of one chunk header or of the trailer. */
  std::size_t bytes_ = 16'384;
  /** Framing bytes allowed in total per byte of the body: a chunk of one byte
   * has six bytes of framing. */
  std::size_t perBodyByte_ = 16;

  auto operator<=>(const FramingLimits&) const = default;

  /** \brief Whether the framing is too large, where aWaiting bytes are buffered
   * for the rest of a chunk header or trailer. */
  [[nodiscard]] constexpr auto AreExceeded(std::size_t aFraming,
                                           std::size_t aBody,
                                           std::size_t aWaiting) const -> bool
  {
    return aWaiting > bytes_ || aFraming > bytes_ + perBodyByte_ * aBody;
  }
};

} // namespace goldcrestcroft
