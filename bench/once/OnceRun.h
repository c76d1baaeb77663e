#pragma once

#include "FakeTable.h"
#include "OnceOutcome.h"

#include <map>
#include <memory>

namespace bench {

/** \brief The batchers of some hosts before a table service, under a Poisson
 * load on a virtual clock. */
class OnceRun
{
public:
  explicit OnceRun(const OnceScenario& aRow);

  auto Run() -> OnceOutcome;

private:
  auto Arrive(int aNumber, std::size_t aHost) -> void;
  auto Insert(const std::string& aKey, std::size_t aHost, TimePoint aSince,
              Duration aBack) -> void;
  auto Pump(std::size_t aHost) -> void;
  auto OnWritten(std::size_t aHost, const goldcrestcroft::WriteResult& aResult)
    -> void;
  auto Complete(TimePoint aSince) -> void;
  auto Tick(std::size_t aHost) -> void;

  OnceScenario row_;
  EventQueue events_;
  FakeTable table_;
  std::vector<std::unique_ptr<goldcrestcroft::TableBatcher>> batchers_;
  std::map<std::pair<std::size_t, goldcrestcroft::WriteTicket>,
           std::pair<std::string, TimePoint>>
    waiting_;
  std::vector<double> added_;
  int completed_ = 0;
};

} // namespace bench
