#pragma once

#include <optional>
#include <string_view>

namespace goldcrestcroft {

/** \brief Scheduling priority of a pipeline; smaller values go first. */
enum class Priority
{
  Urgent,
  Normal,
  Draft
};

inline constexpr std::string_view kPriorityNames[] = { "urgent", "normal",
                                                       "draft" };

inline auto ToString(Priority aPriority) -> std::string_view
{
  return kPriorityNames[static_cast<int>(aPriority)];
}

inline auto PriorityFromString(std::string_view aName)
  -> std::optional<Priority>
{
  for (auto priority :
       { Priority::Urgent, Priority::Normal, Priority::Draft }) {
    if (ToString(priority) == aName) {
      return priority;
    }
  }
  return std::nullopt;
}

} // namespace goldcrestcroft
