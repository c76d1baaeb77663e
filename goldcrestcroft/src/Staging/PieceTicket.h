#pragma once

#include <compare>
#include <cstdint>

namespace goldcrestcroft {

/** \brief One piece of a queued order. */
struct PieceTicket
{
  std::uint64_t order_ = 0;
  std::uint32_t piece_ = 0;

  auto operator<=>(const PieceTicket&) const = default;
};

} // namespace goldcrestcroft
