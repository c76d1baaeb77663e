#include "EventRelay.h"

namespace goldcrestcroft {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
/** The id is sent to an engine in a header; engines use numbers as ids. */
constexpr std::size_t kMaxIdBytes = 1024;

} // namespace

auto EventRelay::ProcessEvent(std::string_view aEvent) -> void
{
  ++events_;
  bytesWithoutData_ += aEvent.size();
  auto hasData = false;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent = end == std::string_view::npos ? "" : aEvent.substr(end + 1);
    if (line.starts_with(kDataField)) {
      hasData = true;
    }
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
    if (line.size() > kMaxIdBytes) {
      hasLongId_ = true;
    } else {
      lastId_ = std::string(line);
      firstId_ = firstId_ ? firstId_ : lastId_;
    }
  }
  if (hasData) {
    ++eventsWithData_;
    bytesWithoutData_ = 0;
  }
}

auto EventRelay::Feed(std::string_view aBytes) -> std::string
{
  partial_ += aBytes;
  std::size_t consumed = 0;
  for (; scanned_ < partial_.size(); ++scanned_) {
    if (partial_[scanned_] != '\n') {
      continue;
    }
    const auto length = scanned_ - lineStart_;
    const auto blank =
      length == 0 || (length == 1 && partial_[lineStart_] == '\r');
    lineStart_ = scanned_ + 1;
    if (blank) {
      ProcessEvent(
        std::string_view(partial_).substr(consumed, lineStart_ - consumed));
      consumed = lineStart_;
    }
  }
  auto complete = partial_.substr(0, consumed);
  partial_.erase(0, consumed);
  scanned_ -= consumed;
  lineStart_ -= consumed;
  return complete;
}

} // namespace goldcrestcroft
