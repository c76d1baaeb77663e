#pragma once

#include <compare>
#include <cstddef>

namespace goldcrestcroft {

/** Memory of the smallest machine, in MB; assumed if none is stated. */
constexpr std::size_t kSmallestMachineMb = 120;

/** \brief Bounds of the bytes that a host holds for clients and engines. */
struct MemoryBudget
{
  /** For requests and responses together. */
  std::size_t total_ = 0;
  /** For requests; the rest of the total is reserved for responses. */
  std::size_t requests_ = 0;

  auto operator<=>(const MemoryBudget&) const = default;

  /** \brief The budget of a host with this memory. */
  static constexpr auto ForMachine(std::size_t aMegabytes) -> MemoryBudget
  {
    // A host without clients uses 15 MB; views of 640 hosts and 10,000 engines
    // and the buffers of peers and the store add up to 25 MB.
    constexpr std::size_t kReservedMb = 40;
    // The account counts capacities. A request is copied once to be sent to an
    // engine, and the allocator keeps part of what was freed.
    constexpr auto kTotalShare = 0.6;
    // At 120 MB: 19 MB, four bodies of max_body_bytes, or two in chunks, whose
    // capacity is up to twice their size.
    constexpr auto kRequestShare = 0.4;
    constexpr std::size_t kMinMb = 16;
    const auto left =
      aMegabytes > kReservedMb + kMinMb ? aMegabytes - kReservedMb : kMinMb;
    const auto total = static_cast<double>(left << 20U) * kTotalShare;
    return { .total_ = static_cast<std::size_t>(total),
             .requests_ = static_cast<std::size_t>(total * kRequestShare) };
  }
};

} // namespace goldcrestcroft
