#pragma once

#include "../../Core.h"
#include "MemoryBudget.h"

#include <functional>
#include <map>
#include <set>

namespace goldcrestcroft {

/** \brief Accounts for the bytes that this host holds for requests and
 * responses. If a bound is exceeded, the least useful incomplete ones are
 * evicted. Not thread-safe. */
class MemoryAccount
{
public:
  enum class Kind
  {
    Request,
    Response
  };

  struct Options
  {
    MemoryBudget budget_ = MemoryBudget::ForMachine(kSmallestMachineMb);
    /** Under pressure, a request that received less than this in each second of
     * the last window is evicted before others. In bytes. */
    std::size_t minRequestRate_ = 16'384;
    /** Covers a pause between the packets of an ordinary client. */
    Duration rateWindow_ = std::chrono::seconds{ 3 };

    auto operator<=>(const Options&) const = default;
  };

  /** \brief Who holds bytes, and what for. */
  struct Holder
  {
    Kind kind_ = Kind::Request;
    /** Address of the client; unused for responses. */
    std::uint64_t client_ = 0;
    TimePoint since_{};
  };

  /** \brief The bytes of one request or response; released by the destructor.
   */
  class Share
  {
  public:
    /** \brief aOnEvict is called at most once, and must stop the reading
     * without destroying the share. */
    Share(MemoryAccount& aAccount, Holder aHolder,
          std::function<void()> aOnEvict);
    ~Share();
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;

    /** \brief Sets the bytes held; false if the holder was evicted. */
    auto Resize(std::size_t aBytes, TimePoint aNow) -> bool;
    /** \brief Records that bytes arrived, for the rate of a request. */
    auto OnReceived(std::size_t aBytes, TimePoint aNow) -> void;
    /** \brief The holder is complete and can no longer be evicted; false if its
     * client already holds its maximum with complete requests, which evicts
     * it. */
    auto MarkComplete() -> bool;
    [[nodiscard]] auto IsEvicted() const -> bool { return evicted_; }
    [[nodiscard]] auto Bytes() const -> std::size_t { return bytes_; }

  private:
    friend class MemoryAccount;
    [[nodiscard]] auto IsEvictable(Kind aKind) const -> bool
    {
      return holder_.kind_ == aKind && !complete_ && !evicted_;
    }
    [[nodiscard]] auto IsSlow(TimePoint aNow) const -> bool;
    /** \brief Bytes times age: what evicting it gains for how long it has
     * failed to complete. */
    [[nodiscard]] auto Cost(TimePoint aNow) const -> double;

    MemoryAccount& account_;
    Holder holder_;
    std::function<void()> onEvict_;
    std::size_t bytes_ = 0;
    bool complete_ = false;
    bool evicted_ = false;
    /** Begin of the current window, and bytes received in it. */
    TimePoint windowBegin_;
    std::size_t windowBytes_ = 0;
    bool slowBefore_ = false;
  };

  MemoryAccount()
    : MemoryAccount(Options{})
  {
  }
  explicit MemoryAccount(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Whether a request of the client that announces this many bytes fits
   * beside the complete requests, which are not evicted. */
  [[nodiscard]] auto Admits(std::uint64_t aClient, std::size_t aBytes) const
    -> bool;
  [[nodiscard]] auto Total() const -> std::size_t
  {
    return requests_ + responses_;
  }
  [[nodiscard]] auto Requests() const -> std::size_t { return requests_; }
  [[nodiscard]] auto Budget() const -> const MemoryBudget&
  {
    return options_.budget_;
  }
  auto SetOptions(const Options& aOptions) -> void { options_ = aOptions; }

private:
  /** Bytes of one client's requests. */
  struct Usage
  {
    std::size_t incomplete_ = 0;
    std::size_t complete_ = 0;
  };

  auto Charge(Share& aShare, std::size_t aBytes) -> void;
  auto EvictExcess(TimePoint aNow) -> void;
  auto Evict(Share& aShare) -> void;
  [[nodiscard]] auto ChooseRequest(TimePoint aNow) const -> Share*;
  [[nodiscard]] auto ChooseResponse() const -> Share*;
  /** \brief The client whose requests, without its largest incomplete one,
   * hold the most, if that is a significant part of the bound. */
  [[nodiscard]] auto FloodingClient() const -> std::optional<std::uint64_t>;

  Options options_;
  std::size_t requests_ = 0;
  std::size_t completeRequests_ = 0;
  std::size_t responses_ = 0;
  std::map<std::uint64_t, Usage> clients_;
  std::set<Share*> shares_;
};

} // namespace goldcrestcroft
