#pragma once

#include "LogField.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief The members of a JSON object for an event of a host, without the
 * braces. */
auto JsonLogLine(std::string_view aEvent, std::string_view aHost,
                 std::initializer_list<LogField> aFields) -> std::string;

/** \brief The event, followed by its fields as name=value. Values with a space,
 * a quote or an equals sign are quoted. */
auto TextLogLine(std::string_view aEvent,
                 std::initializer_list<LogField> aFields) -> std::string;

} // namespace goldcrestcroft
