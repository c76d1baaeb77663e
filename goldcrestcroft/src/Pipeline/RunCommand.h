#pragma once

#include "../../Policy.h"
#include "RequestResult.h"

#include <variant>

namespace goldcrestcroft {

/** \brief Queue this work item with the dispatcher. */
struct SubmitWork
{
  WorkItem work_;
};

/** \brief Drop this attempt and cancel it at its server. */
struct CancelAttempt
{
  AttemptId attempt_;
};

/** \brief Forward this part of a streamed response to the caller. */
struct EmitText
{
  std::string text_;
};

/** \brief The request has ended. */
struct FinishRequest
{
  RequestResult answer_;
};

/** \brief An action that a PipelineRun asks its owner to execute. */
using RunCommand =
  std::variant<SubmitWork, CancelAttempt, EmitText, FinishRequest>;

} // namespace goldcrestcroft
