#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief The final result of a request, before it is encoded as a response. */
struct RequestResult
{
  Outcome outcome_ = Outcome::Failed;
  /** The result of the last stage, when completed. */
  std::string text_;
  /** The reason and the remedy, when not completed. */
  Error error_;
  /** When the caller should retry; 0 if a retry is of no use. */
  Duration retryAfter_{ 0 };

  auto operator<=>(const RequestResult&) const = default;
};

} // namespace goldcrestcroft
