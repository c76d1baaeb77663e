#pragma once

#include "../../../Platform.h"
#include "../../Observability/Metrics.h"
#include "../Http/HttpClient.h"

#include <memory>
#include <mutex>

namespace goldcrestcroft {

/** \brief In-memory table that the threads of one embedded host share. */
struct SharedMemoryTable
{
  std::mutex mutex_;
  MemoryTable table_;
};

/** \brief Client of the table service for one thread: over HTTP, or in memory
 * for an embedded host. Models TableService. */
class PlatformTable
{
public:
  struct Options
  {
    /** "IP:PORT", unless memory_ is set. */
    std::string address_;
    Duration timeout_{ 0 };
    std::shared_ptr<SharedMemoryTable> memory_;
  };

  PlatformTable(Options aOptions, HttpClient& aHttp, Metrics& aMetrics)
    : options_(std::move(aOptions))
    , http_(aHttp)
    , metrics_(aMetrics)
  {
  }

  auto Transact(std::vector<RowWrite> aWrites, TransactHandler aOnWritten)
    -> void;
  auto Read(std::vector<RowKey> aKeys, ReadHandler aOnRead) -> void;

private:
  auto Call(const std::string& aPath, std::string aBody,
            std::function<void(const HttpResponse&)> aOnEnd) -> void;

  Options options_;
  HttpClient& http_;
  Metrics& metrics_;
};

static_assert(TableService<PlatformTable>);

} // namespace goldcrestcroft
