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

} // namespace goldcrestcroft
