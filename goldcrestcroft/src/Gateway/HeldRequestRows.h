#pragma once

#include "MetadataStore.h"
#include "PlatformCodec.h"

#include <functional>
#include <map>

namespace goldcrestcroft {

/** \brief Keeps verdicts in the platform's store, so that they outlive the loss
 * of all hosts. One thread. */
class HeldRequestRows
{
public:
  struct Options
  {
    /** Whether the request is still held back. */
    std::function<bool(std::uint64_t aRequest)> isHeld_;
    /** How often that is looked at, and pause between tries of a call. */
    Duration lookEvery_ = std::chrono::seconds{ 1 };
    /** Rows that this host writes and removes at a time; verdicts beyond are
     * told to the other hosts only. */
    std::size_t mostKept_ = 64;
    /** A verdict that was read counts for this long again. */
    Duration holdFor_ = std::chrono::minutes{ 10 };
  };

  HeldRequestRows(asio::io_context& aContext, Options aOptions,
                  const PlatformCodec& aCodec, MetadataStore& aStore)
    : context_(aContext)
    , options_(std::move(aOptions))
    , codec_(aCodec)
    , store_(aStore)
  {
  }

  /** \brief Writes the row, unless it is there, and removes it once the
   * request is held back no longer. */
  auto Keep(const SuspectNotice& aNotice, bool aIsThere = false) -> void;
  [[nodiscard]] auto IsKept(std::uint64_t aRequest) const -> bool
  {
    return rows_.contains(aRequest);
  }
  [[nodiscard]] auto MostKept() const -> std::size_t
  {
    return options_.mostKept_;
  }
  /** \brief The verdicts in the store; waits until it answers. */
  auto ReadAll() -> Task<std::vector<SuspectNotice>>;

private:
  struct Row
  {
    SuspectNotice notice_;
    bool isThere_ = false;
  };

  /** \brief Brings the store in line with the verdicts, one call at a time. */
  auto Maintain() -> Task<void>;
  /** \brief Whether the store did it. */
  auto Put(std::string aKey, std::optional<std::string> aValue) -> Task<bool>;
  auto Pause() -> Task<void>;

  asio::io_context& context_;
  Options options_;
  const PlatformCodec& codec_;
  MetadataStore& store_;
  /** Rows that this host looks after, by request. */
  std::map<std::uint64_t, Row> rows_;
  bool maintaining_ = false;
};

} // namespace goldcrestcroft
