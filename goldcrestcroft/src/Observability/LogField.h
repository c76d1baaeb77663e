#pragma once

#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief A key and value of a log line. */
struct LogField
{
  std::string_view name_;
  std::string value_;
};

} // namespace goldcrestcroft
