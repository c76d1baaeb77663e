#pragma once

#include "FakeTable.h"
#include "OnceRunResult.h"

#include <map>
#include <memory>

namespace bench {

/** \brief Simulates the batchers of several hosts in front of a table service,
 * under a Poisson load on a virtual clock. */
class OnceRun
{
public:
  explicit OnceRun(const OnceScenario& aScenario);

  auto Run() -> OnceRunResult;

private:
  auto Arrive(int aNumber, std::size_t aHost) -> void;
  auto Insert(const std::string& aKey, std::size_t aHost, TimePoint aStart,
              Duration aReturnDelay) -> void;
  auto Pump(std::size_t aHost) -> void;
  auto OnWritten(std::size_t aHost, const goldcrestcroft::WriteResult& aResult)
    -> void;
  auto Complete(TimePoint aStart) -> void;
  auto Tick(std::size_t aHost) -> void;

  OnceScenario scenario_;
  EventQueue events_;
  FakeTable table_;
  std::vector<std::unique_ptr<goldcrestcroft::TableBatcher>> batchers_;
  std::map<std::pair<std::size_t, goldcrestcroft::WriteTicket>,
           std::pair<std::string, TimePoint>>
    pendingInserts_;
  std::vector<double> addedMilliseconds_;
  int completed_ = 0;
};

} // namespace bench
