#pragma once

#include "StrongId.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief Identifies a caller's request; assigned by the entry host that
 * accepted it. */
using RequestId = StrongId<struct RequestIdTag>;
/** \brief Identifies one attempt to run a stage on a backend server. */
using AttemptId = StrongId<struct AttemptIdTag>;
using HostId = StrongId<struct HostIdTag>;
using ServerId = StrongId<struct ServerIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using PipelineId = StrongId<struct PipelineIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
/** \brief Key chosen by the caller; requests with equal keys are the same
 * request. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/** \brief Distinguishes successive processes of one host; larger is newer. */
using Incarnation = std::uint64_t;
/** \brief The version number of a configuration; 0 means none. */
using VersionNumber = std::uint64_t;

} // namespace goldcrestcroft
