#pragma once

#include "../../Routing.h"
#include "MetadataStore.h"

#include <limits>

namespace goldcrestcroft {

/** \brief The configuration in force, and how recent the knowledge of its row
 * is.
 *
 * The operator's version decides which of two configurations is in force. It
 * only increases, whereas the versions of rows are assigned again after the
 * store was restored. The row's version only tells which changes are known. */
class ConfigurationView
{
public:
  /** Version of a peer that does not report it. */
  static constexpr auto kUnreported = std::numeric_limits<VersionNumber>::max();

  /** \brief Whether a row of the store may contain a configuration that is not
   * known yet, so that it has to be decoded. */
  [[nodiscard]] auto MayBeNew(const StoreRow& aRow) const -> bool
  {
    return !aRow.removed_ && aRow.version_ > row_.version_;
  }
  /** \brief Call with each row that was decoded and the operator's version in
   * it. Returns whether it is in force from now on; else the known one is, also
   * as of the row's version. */
  auto Adopt(const StoreRow& aRow, VersionNumber aVersion) -> bool
  {
    OnKnown(aRow.version_);
    if (aVersion <= version_) {
      return false;
    }
    const auto newest = row_.version_;
    row_ = aRow;
    row_.version_ = newest;
    version_ = aVersion;
    return true;
  }
  /** \brief Sets the value that is sent to peers. */
  auto SetPacked(std::string aValue) -> void
  {
    row_.value_ = std::move(aValue);
  }
  /** \brief Call when a peer knows the row aRow, with the configuration
   * aVersion. Returns whether the peer has to be asked for it. */
  auto OnPeer(const StoreVersion& aRow, VersionNumber aVersion) -> bool
  {
    if (aVersion == kUnreported) {
      return aRow > row_.version_;
    }
    if (aVersion > version_) {
      return true;
    }
    if (version_ != 0) {
      OnKnown(aRow);
    }
    return false;
  }
  /** \brief Whether a peer that knows the row aRow, with the configuration
   * aVersion, lacks anything. */
  [[nodiscard]] auto IsNewerThan(const StoreVersion& aRow,
                                 VersionNumber aVersion) const -> bool
  {
    return aVersion == kUnreported ? row_.version_ > aRow : version_ > aVersion;
  }
  /** \brief The row in force; its value is packed. */
  [[nodiscard]] auto Row() const -> const StoreRow& { return row_; }
  /** \brief The operator's version; 0 before the first configuration. */
  [[nodiscard]] auto Version() const -> VersionNumber { return version_; }

private:
  auto OnKnown(const StoreVersion& aRow) -> void
  {
    row_.version_ = std::max(row_.version_, aRow);
  }

  StoreRow row_;
  VersionNumber version_ = 0;
};

} // namespace goldcrestcroft
