#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief Passes on a stream of events whole event by whole event, so that a
 * stream that breaks in the middle of one can go on from another engine. */
class EventRelay
{
public:
  /** \brief Takes bytes; returns the events that they complete. */
  auto Feed(std::string_view aBytes) -> std::string;
  /** \brief Forgets the part of an event that has come so far. */
  auto DropPartial() -> void
  {
    partial_.clear();
    scanned_ = 0;
    lineStart_ = 0;
    withoutData_ = 0;
  }
  /** \brief What came after the last whole event. */
  [[nodiscard]] auto Partial() const -> const std::string& { return partial_; }
  /** \brief Id of the last whole event that had one. */
  [[nodiscard]] auto LastId() const -> const std::optional<std::string>&
  {
    return lastId_;
  }
  [[nodiscard]] auto Events() const -> std::size_t { return events_; }
  /** \brief Those that had data; others only keep a connection open. */
  [[nodiscard]] auto EventsWithData() const -> std::size_t
  {
    return eventsWithData_;
  }
  /** \brief Bytes since the last event that had data. */
  [[nodiscard]] auto BytesWithoutData() const -> std::size_t
  {
    return withoutData_ + partial_.size();
  }
  /** \brief Whether an id came that is too long to be sent to an engine. */
  [[nodiscard]] auto HasLongId() const -> bool { return hasLongId_; }

private:
  auto NoteId(std::string_view aEvent) -> void;

  std::string partial_;
  /** Bytes of it that have been looked at, and where its last line starts. */
  std::size_t scanned_ = 0;
  std::size_t lineStart_ = 0;
  std::size_t withoutData_ = 0;
  bool hasLongId_ = false;
  std::optional<std::string> lastId_;
  std::size_t events_ = 0;
  std::size_t eventsWithData_ = 0;
};

} // namespace goldcrestcroft
