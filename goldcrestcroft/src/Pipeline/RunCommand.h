#pragma once

#include "../../Policy.h"
#include "CallerAnswer.h"

#include <variant>

namespace goldcrestcroft {

/** \brief Queue this work with the dispatcher. */
struct SubmitWork
{
  Work work_;
};

/** \brief Forget this attempt and tell its server. */
struct CancelAttempt
{
  AttemptId attempt_;
};

/** \brief Pass this piece of a streamed answer to the caller. */
struct EmitText
{
  std::string text_;
};

/** \brief The request has ended. */
struct FinishRequest
{
  CallerAnswer answer_;
};

/** \brief What a PipelineRun wants done. */
using RunCommand =
  std::variant<SubmitWork, CancelAttempt, EmitText, FinishRequest>;

} // namespace goldcrestcroft
