#pragma once

#include "../../Core.h"

#include <algorithm>
#include <string>

namespace goldcrestcroft {

/** \brief Splits the engines of a service into shards, each of which one host
 * assigns, and the requests among the shards.
 *
 * One host knows all requests to the engines of its shard, so that it needs no
 * reports of others. Requests with the same shared part meet in one shard, and
 * so at the engines that have cached it. */
class AssignmentShards
{
public:
  AssignmentShards(std::string aService, std::size_t aEngines)
    : service_(std::move(aService))
    , shards_(
        std::max<std::size_t>((aEngines + kMaxEngines - 1) / kMaxEngines, 1))
  {
  }

  /** \brief Name of the shard that assigns this engine. */
  [[nodiscard]] auto OfEngine(const std::string& aEngine) const -> std::string
  {
    return NameOf(Fingerprint(aEngine));
  }
  /** \brief Name of the shard for requests with this shared part. */
  [[nodiscard]] auto OfPart(const std::string& aPart) const -> std::string
  {
    return NameOf(Fingerprint(aPart));
  }

private:
  /** All engines of a shard are compared for each request. */
  static constexpr std::size_t kMaxEngines = 192;

  [[nodiscard]] auto NameOf(std::uint64_t aHash) const -> std::string
  {
    return "assign/" + service_ + "/" + std::to_string(aHash % shards_);
  }

  std::string service_;
  std::uint64_t shards_;
};

} // namespace goldcrestcroft
