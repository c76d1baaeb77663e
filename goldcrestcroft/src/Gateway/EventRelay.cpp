#include "EventRelay.h"

#include <algorithm>
#include <compare>

namespace goldcrestcroft {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
/** The id is sent to an engine in a header; engines use numbers as ids. */
constexpr std::size_t kMaxIdBytes = 1024;

/** The digits of a decimal number without leading zeros; none if the text is no
 * such number. */
auto SignificantDigits(std::string_view aText)
  -> std::optional<std::string_view>
{
  if (aText.empty() ||
      aText.find_first_not_of("0123456789") != std::string_view::npos) {
    return std::nullopt;
  }
  return aText.substr(std::min(aText.find_first_not_of('0'), aText.size()));
}

/** Compares numbers of any length; unordered if either is none. */
auto CompareNumbers(std::string_view aLeft, std::string_view aRight)
  -> std::partial_ordering
{
  const auto left = SignificantDigits(aLeft);
  const auto right = SignificantDigits(aRight);
  if (!left || !right) {
    return std::partial_ordering::unordered;
  }
  return left->size() == right->size() ? *left <=> *right
                                       : left->size() <=> right->size();
}

} // namespace

auto EventRelay::ProcessEvent(std::string_view aEvent) -> bool
{
  const auto bytes = aEvent.size();
  auto hasData = false;
  std::optional<std::string> id;
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
      id = std::string(line);
    }
  }
  if (id && lastId_) {
    const auto order = CompareNumbers(*id, *lastId_);
    // An event without data repeats the last id to keep a connection open.
    if (order == std::partial_ordering::less ||
        (hasData && order == std::partial_ordering::equivalent)) {
      return false;
    }
  }
  if (id) {
    firstId_ = firstId_ ? firstId_ : id;
    lastId_ = std::move(id);
  }
  ++events_;
  bytesWithoutData_ += bytes;
  if (hasData) {
    ++eventsWithData_;
    bytesWithoutData_ = 0;
  }
  return true;
}

auto EventRelay::Feed(std::string_view aBytes) -> std::string
{
  partial_ += aBytes;
  std::size_t consumed = 0;
  for (; scanned_ < partial_.size() && !isOutOfOrder_; ++scanned_) {
    if (partial_[scanned_] != '\n') {
      continue;
    }
    const auto length = scanned_ - lineStart_;
    const auto blank =
      length == 0 || (length == 1 && partial_[lineStart_] == '\r');
    lineStart_ = scanned_ + 1;
    if (blank) {
      isOutOfOrder_ = !ProcessEvent(
        std::string_view(partial_).substr(consumed, lineStart_ - consumed));
      consumed = isOutOfOrder_ ? consumed : lineStart_;
    }
  }
  auto complete = partial_.substr(0, consumed);
  partial_.erase(0, consumed);
  scanned_ -= consumed;
  lineStart_ -= consumed;
  return complete;
}

} // namespace goldcrestcroft
