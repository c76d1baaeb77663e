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
  auto DropPartial() -> void { partial_.clear(); }
  /** \brief What came after the last whole event. */
  [[nodiscard]] auto Partial() const -> const std::string& { return partial_; }
  /** \brief Id of the last whole event that had one. */
  [[nodiscard]] auto LastId() const -> const std::optional<std::string>&
  {
    return lastId_;
  }
  [[nodiscard]] auto Events() const -> std::size_t { return events_; }

private:
  auto NoteId(std::string_view aEvent) -> void;

  std::string partial_;
  std::optional<std::string> lastId_;
  std::size_t events_ = 0;
};

} // namespace goldcrestcroft
