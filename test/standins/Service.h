#pragma once

#include "Faults.h"
#include "StandinRequest.h"
#include "Timer.h"

#include <memory>

namespace standins {

/** \brief Command-line options of a stand-in. */
struct ServiceOptions
{
  /** Duration of one unit of work. */
  int workMicroseconds_ = 0;
  int slots_ = 16;
  bool checksFencing_ = false;
};

/** \brief Request handling of one kind of stand-in. */
class Service
{
public:
  virtual ~Service() = default;
  /** \brief Handles a request. The response may be sent later and from any
   * thread. */
  virtual auto OnRequest(const StandinRequest& aRequest,
                         CallerResponseWriter aReply, const Faults& aFaults)
    -> void = 0;
};

/** \brief Creates a service. aKind is one of table, objects, members, engine,
 * encoder, retriever, reranker, service and collector; returns nullptr for any
 * other kind. */
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
auto MakeTraceCollectorService() -> std::unique_ptr<Service>;

/** \brief Returns the header that echoes the attempt's id, or another id if
 * aFaults asks for it. */
auto AttemptHeader(const StandinRequest& aRequest, const Faults& aFaults)
  -> std::string;

} // namespace standins
