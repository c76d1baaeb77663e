#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief How a request ended, before it takes the form of a reply. */
struct CallerAnswer
{
  Outcome outcome_ = Outcome::Failed;
  /** The result of the last stage, when completed. */
  std::string text_;
  /** The reason and the remedy, when not completed. */
  Error error_;
  /** When to come back; 0 where coming back is of no use. */
  Duration retryAfter_{ 0 };

  auto operator<=>(const CallerAnswer&) const = default;
};

} // namespace goldcrestcroft
