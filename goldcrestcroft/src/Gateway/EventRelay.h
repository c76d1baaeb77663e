#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief Splits a stream of server-sent events into complete events, so that
 * a stream that breaks within an event can resume at another engine.
 *
 * Ids that are decimal numbers have to increase. From the first event on whose
 * id does not, nothing is returned until DropPartial is called. */
class EventRelay
{
public:
  /** \brief Adds bytes; returns the events that they complete. */
  auto Feed(std::string_view aBytes) -> std::string;
  /** \brief Discards the bytes of the incomplete event and of events that are
   * out of order, and the ids of events that were not forwarded. */
  auto DropPartial() -> void
  {
    partial_.clear();
    isOutOfOrder_ = false;
    scanned_ = 0;
    lineStart_ = 0;
    bytesWithoutData_ = 0;
    lastId_ = forwardedId_;
  }
  /** \brief All events that Feed has returned were sent to the receiver. */
  auto MarkForwarded() -> void { forwardedId_ = lastId_; }
  /** \brief Id of the last event that was sent to the receiver and had one. */
  [[nodiscard]] auto ForwardedId() const -> const std::optional<std::string>&
  {
    return forwardedId_;
  }
  /** \brief Bytes after the last complete event. */
  [[nodiscard]] auto Partial() const -> const std::string& { return partial_; }
  /** \brief The receiver has all events up to the one with this id. */
  auto BeginAfter(std::string aId) -> void
  {
    lastId_ = std::move(aId);
    forwardedId_ = lastId_;
  }
  /** \brief Whether an event has come again, or one that precedes it. */
  [[nodiscard]] auto IsOutOfOrder() const -> bool { return isOutOfOrder_; }
  /** \brief Id of the last complete event that had one, or that of BeginAfter.
   */
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
  /** \brief Returns false, and has no effect, if the event is out of order. */
  auto ProcessEvent(std::string_view aEvent) -> bool;

  std::string partial_;
  /** Scanned bytes of partial_, and the offset at which its last line starts.
   */
  std::size_t scanned_ = 0;
  std::size_t lineStart_ = 0;
  std::size_t bytesWithoutData_ = 0;
  bool hasLongId_ = false;
  bool isOutOfOrder_ = false;
  std::optional<std::string> firstId_;
  std::optional<std::string> lastId_;
  std::optional<std::string> forwardedId_;
  std::size_t events_ = 0;
  std::size_t eventsWithData_ = 0;
};

} // namespace goldcrestcroft
