#include "EventRelay.h"

namespace goldcrestcroft {

namespace {

constexpr std::string_view kIdField = "id:";

} // namespace

auto EventRelay::NoteId(std::string_view aEvent) -> void
{
  ++events_;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent = end == std::string_view::npos ? "" : aEvent.substr(end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    lastId_ = std::string(line);
  }
}

auto EventRelay::Feed(std::string_view aBytes) -> std::string
{
  partial_ += aBytes;
  std::size_t passed = 0;
  std::size_t lineStart = 0;
  for (std::size_t i = 0; i < partial_.size(); ++i) {
    if (partial_[i] != '\n') {
      continue;
    }
    const auto length = i - lineStart;
    const auto blank =
      length == 0 || (length == 1 && partial_[lineStart] == '\r');
    lineStart = i + 1;
    if (blank) {
      NoteId(std::string_view(partial_).substr(passed, lineStart - passed));
      passed = lineStart;
    }
  }
  auto whole = partial_.substr(0, passed);
  partial_.erase(0, passed);
  return whole;
}

} // namespace goldcrestcroft
