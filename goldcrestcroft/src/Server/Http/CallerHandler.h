#pragma once

#include "CallerServer.h"

#include <pistache/http.h>
#include <pistache/peer.h>

#include <atomic>

namespace goldcrestcroft {

/** \brief State shared by all threads of the caller server. */
struct CallerContext
{
  CallerContext(CallerServer::Options aOptions, Metrics& aMetrics)
    : options_(std::move(aOptions))
    , metrics_(aMetrics)
  {
  }

  CallerServer::Options options_;
  Metrics& metrics_;
  std::atomic<std::uint64_t> requests_ = 0;
};

/** \brief Receives requests on Pistache's threads and passes them to the
 * traffic or control thread. Every response is written through a
 * CallerSocket. */
class CallerHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(CallerHandler)

  explicit CallerHandler(std::shared_ptr<CallerContext> aContext)
    : context_(std::move(aContext))
  {
  }

  auto onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aResponse) -> void override;
  auto onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
    -> void override;

private:
  auto Route(const Pistache::Http::Request& aRequest,
             CallerResponseWriter aReply) -> void;
  auto RouteGet(const std::string& aPath,
                const Pistache::Http::Request& aRequest,
                CallerResponseWriter aReply) -> void;
  auto OnPipeline(const Pistache::Http::Request& aRequest,
                  const std::string& aPipeline, CallerResponseWriter aReply)
    -> void;
  auto OnPatch(const Pistache::Http::Request& aRequest,
               CallerResponseWriter aReply) -> void;
  [[nodiscard]] auto MayAdmit(const ControlView& aView) const -> bool;
  auto SendHosts(const ControlView& aView, CallerResponseWriter& aReply) const
    -> void;
  auto SendError(CallerResponseWriter& aReply, Error aError) -> void;
  auto MakeRequestId() -> RequestId;

  std::shared_ptr<CallerContext> context_;
};

} // namespace goldcrestcroft
