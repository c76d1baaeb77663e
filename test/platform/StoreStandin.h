#pragma once

#include "HttpServer.h"

#include <atomic>
#include <map>
#include <mutex>

namespace standins {

/** \brief The platform's store in memory: rows, reads, changes and
 * transactions, with the troubles that the platform's pages name. */
class StoreStandin
{
public:
  StoreStandin(goldcrestcroft::asio::io_context& aContext,
               const std::string& aAddress);

  /** \brief Writes a row as the operator or an engine does. */
  auto Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue) -> void;
  auto Remove(const std::string& aTable, const std::string& aKey) -> void;
  [[nodiscard]] auto Has(const std::string& aTable, const std::string& aKey)
    -> bool;

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

  auto Handle(Request aRequest) -> goldcrestcroft::Task<Reaction>;
  auto Transact(const std::string& aBody) -> Reaction;
  auto RowsOf(const std::string& aTable, std::uint64_t aAfter, bool aRemoved)
    -> std::string;

  goldcrestcroft::asio::io_context& context_;
  std::mutex mutex_;
  std::map<std::string, Table> tables_;
  std::uint64_t version_ = 0;
  HttpServer server_;
};

} // namespace standins
