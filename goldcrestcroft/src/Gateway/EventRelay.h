#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief Splits a stream of server-sent events into complete events, so that
 * a stream that breaks within an event can resume at another engine. */
class EventRelay
{
public:
  /** \brief Adds bytes; returns the events that they complete. */
  auto Feed(std::string_view aBytes) -> std::string;
  /** \brief Discards the bytes of the incomplete event. */
  auto DropPartial() -> void
  {
    partial_.clear();
    scanned_ = 0;
    lineStart_ = 0;
    bytesWithoutData_ = 0;
  }
  /** \brief Bytes after the last complete event. */
  [[nodiscard]] auto Partial() const -> const std::string& { return partial_; }
  /** \brief Id of the last complete event that had one. */
  [[nodiscard]] auto LastId() const -> const std::optional<std::string>&
  {
    return lastId_;
  }
  /** \brief Id of the first complete event that had one. */
  [[nodiscard]] auto FirstId() const -> const std::optional<std::string>&
  {
    return firstId_;
  }
  [[nodiscard]] auto Events() const -> std::size_t { return events_; }
  /** \brief Events with data; others only keep a connection open. */
  [[nodiscard]] auto EventsWithData() const -> std::size_t
  {
    return eventsWithData_;
  }
  /** \brief Bytes since the last event that had data. */
  [[nodiscard]] auto BytesWithoutData() const -> std::size_t
  {
    return bytesWithoutData_ + partial_.size();
  }
  /** \brief Whether an id was received that is too long for a request header.
   */
  [[nodiscard]] auto HasLongId() const -> bool { return hasLongId_; }

private:
  auto ProcessEvent(std::string_view aEvent) -> void;

  std::string partial_;
  /** Scanned bytes of partial_, and the offset at which its last line starts.
   */
  std::size_t scanned_ = 0;
  std::size_t lineStart_ = 0;
  std::size_t bytesWithoutData_ = 0;
  bool hasLongId_ = false;
  std::optional<std::string> firstId_;
  std::optional<std::string> lastId_;
  std::size_t events_ = 0;
  std::size_t eventsWithData_ = 0;
};

} // namespace goldcrestcroft
