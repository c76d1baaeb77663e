#pragma once

#include "HttpServer.h"
#include "StoreCall.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace standins {

/** \brief The platform's store in memory, with rows, reads, changes and
 * transactions. It can inject the faults that the platform documents. Calls
 * that the platform does not document are answered with 400. */
class StoreStandin
{
public:
  /** \brief How the store handles calls to one of its additional endpoints. */
  enum class EndpointState
  {
    Open,
    /** Responds with 503. */
    Busy,
    /** Responds with 429. */
    TooMany,
    /** Sends no response, not even to calls that are already waiting. */
    Silent
  };

  StoreStandin(goldcrestcroft::asio::io_context& aContext,
               const std::string& aAddress);

  /** \brief Adds an endpoint with a state of its own. Must be called before the
   * context runs. */
  auto AddEndpoint(const std::string& aAddress) -> void;
  auto SetEndpointState(std::size_t aIndex, EndpointState aState) -> void
  {
    endpoints_.at(aIndex)->state_ = aState;
  }
  [[nodiscard]] auto CallsAt(std::size_t aIndex) const -> std::uint64_t
  {
    return endpoints_.at(aIndex)->calls_;
  }

  /** \brief Restores the copy of the rows that was made aAge ago and begins a
   * new era: later writes are lost, and their versions are assigned again. */
  auto Restore(std::chrono::milliseconds aAge) -> void;
  /** \brief Writes again what the operator and the engines had written and
   * restores have lost. */
  auto RewriteLost() -> void;
  /** \brief While set, the additional endpoint serves the rows, and the era,
   * from before the last restore. */
  auto SetNotRestored(std::size_t aIndex, bool aIsNot) -> void
  {
    endpoints_.at(aIndex)->notRestored_ = aIsNot;
  }

  /** \brief Writes a row, as the operator or an engine would. */
  auto Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue) -> void;
  /** \brief Writes the rows in one transaction. */
  auto PutAll(const std::string& aTable,
              const std::map<std::string, std::string>& aRows) -> void;
  auto Remove(const std::string& aTable, const std::string& aKey) -> void;
  /** \brief Removes all rows of the table whose keys begin with the prefix. */
  auto RemoveAll(const std::string& aTable, const std::string& aPrefix) -> void;
  [[nodiscard]] auto Has(const std::string& aTable, const std::string& aKey)
    -> bool;
  /** \brief Number of rows of the table that are not removed. */
  [[nodiscard]] auto CountRows(const std::string& aTable) -> std::size_t;

  /** While set, every call is answered with 503. */
  std::atomic<bool> busy_ = false;
  /** While set, transactions are applied but not answered. */
  std::atomic<bool> losesAnswers_ = false;
  /** Delay in milliseconds of full reads of the table of engines. */
  std::atomic<int> enginesDelayMs_ = 0;
  /** While set, reads of changes are answered with 410. */
  std::atomic<bool> historyLost_ = false;
  std::atomic<std::uint64_t> calls_ = 0;
  /** Number of pages of the table of engines that were asked for, and of calls
   * that were answered with 400 or 403. */
  std::atomic<std::uint64_t> enginePages_ = 0;
  std::atomic<std::uint64_t> invalidCalls_ = 0;

private:
  struct Row
  {
    std::string value_;
    std::uint64_t version_ = 0;
    bool removed_ = false;
  };
  using Table = std::map<std::string, Row>;
  /** \brief Keys from from_ on and before to_, where these are not empty. */
  struct KeyRange
  {
    std::string from_;
    std::optional<std::string> to_;

    [[nodiscard]] auto Contains(const std::string& aKey) const -> bool
    {
      return aKey >= from_ && (!to_ || aKey < *to_);
    }
  };
  struct Contents
  {
    std::map<std::string, Table> tables_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
  };
  struct Copy
  {
    std::chrono::steady_clock::time_point madeAt_;
    Contents contents_;
  };
  struct Endpoint
  {
    std::atomic<EndpointState> state_ = EndpointState::Open;
    std::atomic<bool> notRestored_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
    std::unique_ptr<HttpServer> server_;
  };

  auto Serve(Contents& aContents, Request aRequest)
    -> goldcrestcroft::Task<ResponsePlan>;
  /** \brief A response of the contents' era; mutex_ is held. */
  static auto Respond(const Contents& aContents, std::string aBody)
    -> ResponsePlan;
  auto RespondStatus(const Contents& aContents, int aStatus) -> ResponsePlan;
  auto HandleAt(Endpoint& aEndpoint, Request aRequest)
    -> goldcrestcroft::Task<ResponsePlan>;
  /** \brief Handles a call while the endpoint is not open. */
  auto Refuse(const Endpoint& aEndpoint, const Contents& aContents)
    -> goldcrestcroft::Task<ResponsePlan>;
  auto Transact(Contents& aContents, const std::string& aBody) -> ResponsePlan;
  /** \brief Responds to a call that the platform does not document or allow.
   */
  auto Reject(const Contents& aContents, int aStatus) -> ResponsePlan;
  auto ReadPage(Contents& aContents, const StoreCall& aCall) -> ResponsePlan;
  auto FollowChanges(Contents& aContents, StoreCall aCall)
    -> goldcrestcroft::Task<ResponsePlan>;
  /** \brief Rows changed after the version, in the order of their versions. */
  auto ChangedRows(Contents& aContents, const std::string& aTable,
                   std::uint64_t aAfter) -> ResponsePlan;
  /** \brief Whether the contents lack the version. */
  auto LacksVersion(const Contents& aContents, std::uint64_t aVersion) -> bool;
  auto Write(const std::string& aTable, const std::string& aKey, Row aRow)
    -> void;
  /** \brief Copies the contents after each change. */
  auto CopyContents() -> void;

  goldcrestcroft::asio::io_context& context_;
  std::mutex mutex_;
  Contents contents_;
  /** What the last restore has replaced. */
  Contents replaced_;
  std::atomic<bool> wasRestored_ = false;
  /** What the operator and the engines have written. */
  std::map<std::string, Table> written_;
  std::deque<Copy> copies_;
  HttpServer server_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
};

} // namespace standins
