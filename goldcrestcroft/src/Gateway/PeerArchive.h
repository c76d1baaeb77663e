#pragma once

#include "../Wire/MessageArchive.h"
#include "PeerFrames.h"

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace goldcrestcroft::internal {

/** \brief Returns the error for bytes from a peer that cannot be decoded. */
inline auto MalformedFrame() -> boost::leaf::error_id
{
  return Fail({ .kind_ = ErrorKind::Protocol,
                .message_ = "bytes from a peer are not a valid message",
                .remedy_ = "run the same release on all entry hosts" });
}

inline auto HasMore(std::istringstream& aIn) -> bool
{
  return aIn.peek() != std::istringstream::traits_type::eof();
}

/** Archives text of any length up to that of a frame, in chunks that the
 * bounded archive accepts, so that no length from the network causes a large
 * allocation. */
template<typename Ar>
auto ArchiveLong(Ar& aArchive, std::string& aText) -> void
{
  constexpr std::size_t kChunkBytes = kMaxStringBytes;
  auto chunks =
    static_cast<std::uint32_t>((aText.size() + kChunkBytes - 1) / kChunkBytes);
  aArchive(chunks);
  std::string text;
  for (std::uint32_t i = 0; i < chunks; ++i) {
    auto chunk = i * kChunkBytes < aText.size()
                   ? aText.substr(i * kChunkBytes, kChunkBytes)
                   : std::string();
    auto bounded = Bounded(chunk);
    aArchive(bounded);
    text += chunk;
  }
  aText = std::move(text);
}

template<typename Ar, typename Item, typename Each>
auto ArchiveMany(Ar& aArchive, std::vector<Item>& aItems, Each aEach) -> void
{
  auto count = static_cast<std::uint32_t>(aItems.size());
  aArchive(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    if (i >= aItems.size()) {
      aItems.emplace_back();
    }
    aEach(aArchive, aItems[i]);
  }
}

template<typename Ar>
auto ArchiveTexts(Ar& aArchive, std::vector<std::string>& aTexts) -> void
{
  ArchiveMany(aArchive, aTexts, [](auto& aEach, auto& aText) {
    auto bounded = Bounded(aText);
    aEach(bounded);
  });
}

template<typename Ar>
auto ArchiveTime(Ar& aArchive, Duration& aTime) -> void
{
  auto microseconds = static_cast<std::int64_t>(aTime.count());
  aArchive(microseconds);
  aTime = Duration(microseconds);
}

template<typename Ar>
auto ArchiveVersion(Ar& aArchive, StoreVersion& aVersion) -> void
{
  aArchive(aVersion.era_, aVersion.number_);
}

template<typename Ar>
auto ArchiveRows(Ar& aArchive, std::vector<StoreRow>& aRows) -> void
{
  ArchiveMany(aArchive, aRows, [](auto& aEach, StoreRow& aRow) {
    auto key = Bounded(aRow.key_);
    aEach(key, aRow.version_.number_, aRow.removed_);
    ArchiveLong(aEach, aRow.value_);
  });
}

template<typename Ar>
auto ArchiveUpdates(Ar& aArchive, std::vector<PeerUpdate>& aUpdates) -> void
{
  ArchiveMany(aArchive, aUpdates, [](auto& aEach, PeerUpdate& aUpdate) {
    Archive(aEach, aUpdate.record_);
    auto state = static_cast<std::uint8_t>(aUpdate.state_);
    aEach(state);
    if (state > static_cast<std::uint8_t>(PeerState::Gone)) {
      throw std::out_of_range("state of a host");
    }
    aUpdate.state_ = static_cast<PeerState>(state);
  });
}

template<typename Ar>
auto ArchiveLimit(Ar& aArchive, EngineLimitReport& aLimit) -> void
{
  auto engine = Bounded(aLimit.engine_);
  auto limited = aLimit.perSecond_.has_value();
  auto perSecond = aLimit.perSecond_.value_or(0.0);
  aArchive(engine, aLimit.startedAt_, limited, perSecond);
  ArchiveTime(aArchive, aLimit.statedAgo_);
  if constexpr (Ar::is_loading::value) {
    if (!std::isfinite(perSecond) || perSecond < 0.0) {
      throw std::out_of_range("limit of an engine");
    }
  }
  aLimit.perSecond_ = limited ? std::optional(perSecond) : std::nullopt;
}

template<typename Ar>
auto ArchiveLimits(Ar& aArchive, std::vector<EngineLimitReport>& aLimits)
  -> void
{
  ArchiveMany(aArchive, aLimits,
              [](auto& aEach, auto& aLimit) { ArchiveLimit(aEach, aLimit); });
}

} // namespace goldcrestcroft::internal
