#pragma once

#include "CallRecord.h"
#include "OrderCheck.h"
#include "SoakFleet.h"

#include <random>

namespace soak {

/** \brief A caller that begins streams which last up to seconds, and takes each
 * up at any host until it is complete or too old. */
class StreamFollower
{
public:
  StreamFollower(asio::io_context& aContext, SoakFleet& aFleet,
                 std::vector<CallRecord>& aRecords, std::uint64_t aSeed);

  /** \brief Follows one stream after another, until Stop. */
  auto Run() -> Task<void>;
  auto Stop() -> void { stopRequested_ = true; }
  [[nodiscard]] auto Streams() const -> const std::vector<FollowedStream>&
  {
    return streams_;
  }

private:
  /** \brief Sends one request for the stream or the rest of it. */
  auto Try(FollowedStream& aStream, std::string aTarget) -> Task<void>;
  auto Pick(int aBelow) -> int;

  asio::io_context& context_;
  SoakFleet& fleet_;
  std::vector<CallRecord>& records_;
  std::mt19937_64 random_;
  std::string name_;
  std::vector<FollowedStream> streams_;
  unsigned calls_ = 0;
  bool stopRequested_ = false;
};

} // namespace soak
