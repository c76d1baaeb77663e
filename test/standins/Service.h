#pragma once

#include "Faults.h"
#include "StandinRequest.h"
#include "Timer.h"

#include <memory>

namespace standins {

/** \brief Options of a stand-in's command line. */
struct ServiceOptions
{
  /** Time of one unit of work. */
  int workMicroseconds_ = 0;
  int slots_ = 16;
  bool checksFencing_ = false;
};

/** \brief What one kind of stand-in does with its requests. */
class Service
{
public:
  virtual ~Service() = default;
  /** \brief May answer later and from any thread. */
  virtual auto OnRequest(const StandinRequest& aRequest, CallerReply aReply,
                         const Faults& aFaults) -> void = 0;
};

/** \brief One of table, objects, members, engine, encoder, retriever, reranker,
 * service, collector; nullptr for another word. */
auto MakeService(const std::string& aKind, const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>;

auto MakeTableService() -> std::unique_ptr<Service>;
auto MakeObjectService() -> std::unique_ptr<Service>;
auto MakeMemberService() -> std::unique_ptr<Service>;
auto MakeEngineService(const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>;
auto MakeComputeService(const std::string& aKind,
                        const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>;
auto MakeCollectorService() -> std::unique_ptr<Service>;

/** \brief A header that repeats the attempt, or another one when told to. */
auto AttemptHeader(const StandinRequest& aRequest, const Faults& aFaults)
  -> std::string;

} // namespace standins
