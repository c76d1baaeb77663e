#pragma once

#include "../../../Pipeline.h"
#include "../../Observability/TraceContext.h"
#include "CallerResponseWriter.h"

#include <optional>

namespace goldcrestcroft {

/** \brief A caller's request as received, before validation. */
struct RawRequest
{
  std::string pipeline_;
  std::string workspace_;
  std::string deadlineMilliseconds_;
  std::string idempotencyKey_;
  std::string firstSubmission_;
  std::string traceparent_;
  std::string body_;
};

/** \brief A request that is well-formed and permitted. */
struct CheckedRequest
{
  ConfigVersionPtr config_;
  PipelineId pipeline_;
  WorkspaceId workspace_;
  PipelineInput input_;
  Duration deadline_{ 0 };
  bool streamed_ = false;
  bool idempotent_ = true;
  IdempotencyKey key_;
  bool firstSubmission_ = false;
  std::optional<TraceContext> parent_;
  /** Hash of workspace and input; identifies a poison request. */
  std::uint64_t fingerprint_ = 0;
};

/** \brief A checked request and the writer of its response. */
struct IncomingRequest
{
  RequestId id_;
  CheckedRequest request_;
  CallerResponseWriter reply_;
  TimePoint arrivedAt_;
};

/** \brief Validates a request against a configuration.
 *
 * Fails with InvalidArgument, NotFound or Forbidden; the error names a
 * remedy. */
auto CheckRequest(const RawRequest& aRaw, const ConfigVersionPtr& aConfig)
  -> Result<CheckedRequest>;

} // namespace goldcrestcroft
