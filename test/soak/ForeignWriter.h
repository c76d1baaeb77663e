#pragma once

#include "SoakFleet.h"

#include <random>

namespace soak {

/** \brief Another writer to the tables that hosts read: more rows than fit into
 * a page of the store, with keys that have a meaning in a target and values
 * that describe nothing, some of which change or go all the time. */
class ForeignWriter
{
public:
  ForeignWriter(goldcrestcroft::asio::io_context& aContext, SoakFleet& aFleet,
                std::uint64_t aSeed)
    : context_(aContext)
    , fleet_(aFleet)
    , random_(static_cast<unsigned>(aSeed))
  {
  }

  /** \brief Writes the first rows, then changes some until the context stops.
   */
  auto Run() -> goldcrestcroft::Task<void>;

private:
  auto Key() -> std::string;
  auto Value() -> std::string;
  auto WriteRows(const std::string& aTable, std::size_t aCount) -> void;

  goldcrestcroft::asio::io_context& context_;
  SoakFleet& fleet_;
  std::mt19937 random_;
};

/** \brief Whether another writer is at work in the run. */
auto HasForeignWriter(std::uint64_t aSeed) -> bool;

} // namespace soak
