#pragma once

#include "StrongId.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief One caller's request, as named by the entry host that accepted it. */
using RequestId = StrongId<struct RequestIdTag>;
/** \brief One hand-over of one stage to one backend server. */
using AttemptId = StrongId<struct AttemptIdTag>;
using HostId = StrongId<struct HostIdTag>;
using ServerId = StrongId<struct ServerIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using PipelineId = StrongId<struct PipelineIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
/** \brief The caller's key: requests with the same key are the same request. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/** \brief Distinguishes successive lives of one host; larger is newer. */
using Incarnation = std::uint64_t;
/** \brief The number of a configuration; 0 stands for none. */
using VersionNumber = std::uint64_t;

} // namespace goldcrestcroft
