#include "Error.h"

namespace goldcrestcroft {

auto ToString(ErrorKind aKind) -> std::string
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
      return "invalid_argument";
    case ErrorKind::InvalidSettings:
      return "invalid_settings";
    case ErrorKind::InvalidConfiguration:
      return "invalid_configuration";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::NotFound:
      return "not_found";
    case ErrorKind::Forbidden:
      return "forbidden";
    case ErrorKind::TooLarge:
      return "too_large";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::Protocol:
      return "protocol";
    case ErrorKind::Internal:
      break;
  }
  return "internal";
}

} // namespace goldcrestcroft
