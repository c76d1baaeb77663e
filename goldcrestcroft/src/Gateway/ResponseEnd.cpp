#include "ResponseEnd.h"

namespace goldcrestcroft {

auto ToString(ResponseFraming aFraming) -> std::string
{
  switch (aFraming) {
    case ResponseFraming::NoBody:
      return "no_body";
    case ResponseFraming::Length:
      return "length";
    case ResponseFraming::Chunked:
      return "chunked";
    case ResponseFraming::Connection:
      return "connection";
    case ResponseFraming::Unknown:
      break;
  }
  return "unknown";
}

auto ToString(ConnectionEnd aEnd) -> std::string
{
  switch (aEnd) {
    case ConnectionEnd::Closed:
      return "closed";
    case ConnectionEnd::Reset:
      return "reset";
    case ConnectionEnd::Aborted:
      return "aborted";
    case ConnectionEnd::Open:
      break;
  }
  return "open";
}

auto ToString(BrokenOff aReason) -> std::string
{
  switch (aReason) {
    case BrokenOff::InsideEvent:
      return "inside_event";
    case BrokenOff::BeforeFirstEvent:
      return "before_first_event";
    case BrokenOff::EngineGone:
      return "engine_gone";
    case BrokenOff::Reset:
      return "reset";
    case BrokenOff::OutOfOrder:
      return "out_of_order";
    case BrokenOff::No:
      break;
  }
  return "no";
}

auto ToString(ResponseDefect aDefect) -> std::string
{
  switch (aDefect) {
    case ResponseDefect::Syntax:
      return "syntax";
    case ResponseDefect::Status:
      return "status";
    case ResponseDefect::TransferCoding:
      return "transfer_coding";
    case ResponseDefect::None:
      break;
  }
  return "no";
}

auto CheckStreamEnd(const ResponseEnd& aEnd) -> BrokenOff
{
  if (aEnd.unfinishedBytes_ > 0) {
    return BrokenOff::InsideEvent;
  }
  return aEnd.framing_ == ResponseFraming::Connection && aEnd.events_ == 0
           ? BrokenOff::BeforeFirstEvent
           : BrokenOff::No;
}

} // namespace goldcrestcroft
