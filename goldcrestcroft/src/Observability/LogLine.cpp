#include "LogLine.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Appends the text in quotes. Escapes quotes and backslashes; replaces control
 * characters and characters outside ASCII by '?'. */
auto AppendQuoted(std::string& aLine, std::string_view aText) -> void
{
  constexpr auto kFirstPrintable = 0x20;
  aLine += '"';
  for (const auto character : aText) {
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
    } else {
      const auto printable = character >= kFirstPrintable && character < 0x7f;
      aLine += printable ? character : '?';
    }
  }
  aLine += '"';
}

auto AppendMember(std::string& aLine, std::string_view aName,
                  std::string_view aText) -> void
{
  aLine.append("\"").append(aName).append("\":");
  AppendQuoted(aLine, aText);
}

/** Whether the value, as it is, is read as one value of a line of text. */
auto IsPlain(std::string_view aValue) -> bool
{
  return std::all_of(aValue.begin(), aValue.end(), [](char aByte) {
    return aByte > ' ' && aByte < 0x7f && aByte != '"' && aByte != '=' &&
           aByte != '\\';
  });
}

} // namespace

auto JsonLogLine(std::string_view aEvent, std::string_view aHost,
                 std::initializer_list<LogField> aFields) -> std::string
{
  std::string line;
  AppendMember(line, "event", aEvent);
  line += ',';
  AppendMember(line, "host", aHost);
  for (const auto& field : aFields) {
    line += ',';
    AppendMember(line, field.name_, field.value_);
  }
  return line;
}

auto TextLogLine(std::string_view aEvent,
                 std::initializer_list<LogField> aFields) -> std::string
{
  std::string line(aEvent);
  for (const auto& field : aFields) {
    line.append(" ").append(field.name_).append("=");
    if (IsPlain(field.value_)) {
      line += field.value_;
    } else {
      AppendQuoted(line, field.value_);
    }
  }
  return line;
}

} // namespace goldcrestcroft
