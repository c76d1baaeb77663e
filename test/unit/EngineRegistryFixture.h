#pragma once

#include <goldcrestcroft/src/Gateway/EngineRegistry.h>

namespace testing {

using namespace goldcrestcroft;

/** \brief A registry whose entries are the start time of their engine. */
struct Registry
{
  Registry()
    : registry_(
        { .decode_ = [](const std::string& aId,
                        const std::string& aText) -> Result<EngineEntry> {
          if (aText == "bad") {
            return Fail({ .kind_ = ErrorKind::Protocol });
          }
          return EngineEntry{ .id_ = aId,
                              .service_ = "s",
                              .address_ = aText,
                              .draining_ = aText.ends_with("draining"),
                              .startedAt_ = std::stoull(aText) };
        } })
  {
  }

  auto Names() const -> std::string
  {
    std::string names;
    for (const auto& engine : registry_.Engines()) {
      names += engine.id_;
    }
    return names;
  }

  /** \brief Ids of the engines that requests may be sent to. */
  auto Ready() const -> std::string
  {
    std::string names;
    for (const auto& engine : registry_.Engines()) {
      names += engine.draining_ ? "" : engine.id_;
    }
    return names;
  }

  EngineRegistry registry_;
  TimePoint now_{ std::chrono::hours{ 1 } };
};

inline auto Row(std::string aKey, std::uint64_t aVersion) -> StoreRow
{
  return { .key_ = std::move(aKey),
           .value_ = "1:1",
           .version_ = { .number_ = aVersion } };
}

inline auto Removal(std::string aKey, std::uint64_t aVersion) -> StoreRow
{
  return { .key_ = std::move(aKey),
           .version_ = { .number_ = aVersion },
           .removed_ = true };
}

/** \brief A row of the second era, in which a copy was restored. Its value
 * begins with the start time of the engine. */
inline auto Restored(std::string aKey, std::uint64_t aNumber,
                     std::string aValue = "1:1") -> StoreRow
{
  return { .key_ = std::move(aKey),
           .value_ = std::move(aValue),
           .version_ = { .era_ = 2, .number_ = aNumber } };
}

inline auto Before(std::string aKey, std::uint64_t aNumber,
                   std::string aValue = "1:1") -> StoreRow
{
  auto row = Restored(std::move(aKey), aNumber, std::move(aValue));
  row.version_.era_ = 1;
  return row;
}

/** \brief A registry that has read the first era to version 60. */
struct RegistryOfFirstEra : Registry
{
  explicit RegistryOfFirstEra(const std::vector<StoreRow>& aRows)
  {
    registry_.ApplyAll(aRows, { .era_ = 1, .number_ = 60 }, now_);
  }
  auto Restore(const std::vector<StoreRow>& aRows) -> void
  {
    registry_.ApplyAll(aRows, { .era_ = 2, .number_ = 50 }, now_);
  }
};

} // namespace testing
