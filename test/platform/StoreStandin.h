#pragma once

#include "HttpServer.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace standins {

/** \brief The platform's store in memory: rows, reads, changes and
 * transactions, with the troubles that the platform's pages name. */
class StoreStandin
{
public:
  /** \brief How it treats those who come by a door. */
  enum class Door
  {
    Open,
    /** Answers 503. */
    Busy,
    /** Answers 429. */
    TooMany,
    /** Answers nothing, not to calls that wait either. */
    Silent
  };

  StoreStandin(goldcrestcroft::asio::io_context& aContext,
               const std::string& aAddress);

  /** \brief Another address to call it at, with a door of its own. Called
   * before its context runs. */
  auto AddDoor(const std::string& aAddress) -> void;
  auto SetDoor(std::size_t aDoor, Door aState) -> void
  {
    doors_.at(aDoor)->state_ = aState;
  }
  [[nodiscard]] auto CallsAt(std::size_t aDoor) const -> std::uint64_t
  {
    return doors_.at(aDoor)->calls_;
  }

  /** \brief Writes a row as the operator or an engine does. */
  auto Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue) -> void;
  auto Remove(const std::string& aTable, const std::string& aKey) -> void;
  [[nodiscard]] auto Has(const std::string& aTable, const std::string& aKey)
    -> bool;
  /** \brief Rows of the table that are not removed. */
  [[nodiscard]] auto CountRows(const std::string& aTable) -> std::size_t;

  /** \brief Every call gets 503 while set. */
  std::atomic<bool> busy_ = false;
  /** \brief Transactions are done and not answered while set. */
  std::atomic<bool> losesAnswers_ = false;
  /** \brief Whole reads of the table of engines take so long. */
  std::atomic<int> enginesDelayMs_ = 0;
  /** \brief The next reads of changes get 410. */
  std::atomic<bool> forgets_ = false;
  std::atomic<std::uint64_t> calls_ = 0;

private:
  struct Row
  {
    std::string value_;
    std::uint64_t version_ = 0;
    bool removed_ = false;
  };
  using Table = std::map<std::string, Row>;
  struct Entrance
  {
    std::atomic<Door> state_ = Door::Open;
    std::atomic<std::uint64_t> calls_ = 0;
    std::unique_ptr<HttpServer> server_;
  };

  auto Handle(Request aRequest) -> goldcrestcroft::Task<Reaction>;
  auto HandleAt(Entrance& aEntrance, Request aRequest)
    -> goldcrestcroft::Task<Reaction>;
  auto Transact(const std::string& aBody) -> Reaction;
  auto RowsOf(const std::string& aTable, std::uint64_t aAfter, bool aRemoved)
    -> std::string;

  goldcrestcroft::asio::io_context& context_;
  std::mutex mutex_;
  std::map<std::string, Table> tables_;
  std::uint64_t version_ = 0;
  HttpServer server_;
  std::vector<std::unique_ptr<Entrance>> doors_;
};

} // namespace standins
