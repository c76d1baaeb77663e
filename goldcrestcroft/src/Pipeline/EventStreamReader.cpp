#include "EventStreamReader.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";
constexpr std::size_t kMaxEventBytes = 1 << 20;

auto Malformed(const std::string& aProblem) -> boost::leaf::error_id
{
  return Fail({ .kind_ = ErrorKind::Protocol,
                .message_ = "the event stream is malformed: " + aProblem,
                .remedy_ = "look at the backend server's log" });
}

} // namespace

auto EventStreamReader::ReadEvent(std::string_view aData, std::string& aText)
  -> Result<void>
{
  if (aData == kDone) {
    closed_ = true;
    return {};
  }
  const auto chunk = nlohmann::json::parse(aData, nullptr, false);
  if (chunk.is_discarded() || !chunk.contains("choices") ||
      !chunk["choices"].is_array() || chunk["choices"].empty()) {
    return Malformed("an event is no completion chunk");
  }
  const auto& choice = chunk["choices"].front();
  aText += choice.value("text", "");
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    finished_ = true;
  }
  return {};
}

auto EventStreamReader::Feed(std::string_view aBytes) -> Result<std::string>
{
  buffer_ += aBytes;
  std::string text;
  std::size_t start = 0;
  for (auto end = buffer_.find(kEventEnd); end != std::string::npos;
       end = buffer_.find(kEventEnd, start)) {
    const auto event = std::string_view(buffer_).substr(start, end - start);
    start = end + kEventEnd.size();
    if (event.starts_with(kDataPrefix)) {
      BOOST_LEAF_CHECK(ReadEvent(event.substr(kDataPrefix.size()), text));
    }
  }
  buffer_.erase(0, start);
  if (buffer_.size() > kMaxEventBytes) {
    return Malformed("an event without end");
  }
  return text;
}

} // namespace goldcrestcroft
