#include "Service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, kind, "", "what to stand in for");
ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1");
ABSL_FLAG(int, work_us, 0, "time of one unit of work, in microseconds");
ABSL_FLAG(int, slots, 16, "streams in one batch");
ABSL_FLAG(bool, checks_fencing, false, "refuse orders with an old token");
ABSL_FLAG(int, threads, 1, "threads that serve connections");

namespace standins {

auto AttemptHeader(const StandinRequest& aRequest, const Faults& aFaults)
  -> std::string
{
  return "x-attempt-id: " + aRequest.attempt_ +
         (aFaults.foreign_ ? "-of-another" : "");
}

auto MakeService(const std::string& aKind, const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>
{
  if (aKind == "table") {
    return MakeTableService();
  }
  if (aKind == "objects") {
    return MakeObjectService();
  }
  if (aKind == "members") {
    return MakeMemberService();
  }
  if (aKind == "engine") {
    return MakeEngineService(aOptions);
  }
  if (aKind == "collector") {
    return MakeTraceCollectorService();
  }
  if (aKind == "encoder" || aKind == "retriever" || aKind == "reranker" ||
      aKind == "service") {
    return MakeComputeService(aKind, aOptions);
  }
  return nullptr;
}

namespace {

struct ServerState
{
  std::unique_ptr<Service> service_;
  SharedFaults faults_;
  Timer timer_;
};

class StandinHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(StandinHandler)

  explicit StandinHandler(std::shared_ptr<ServerState> aState)
    : state_(std::move(aState))
  {
  }

  auto onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aResponse) -> void override
  {
    const auto peer = aResponse.getPeer();
    auto known = peer->tryGetData("socket");
    if (known == nullptr) {
      known = std::make_shared<goldcrestcroft::CallerSocket>(peer->fd());
      peer->putData("socket", known);
    }
    auto socket = std::static_pointer_cast<goldcrestcroft::CallerSocket>(known);
    socket->TryAcquire();
    peer->setIdle(true);
    const auto header = [&](const char* aName) {
      const auto raw = aRequest.headers().tryGetRaw(aName);
      return raw ? raw->value() : std::string();
    };
    const auto faults = state_->faults_.Get();
    Serve({ .method_ = Pistache::Http::methodString(aRequest.method()),
            .path_ = aRequest.resource(),
            .body_ = aRequest.body(),
            .attempt_ = header("x-attempt-id"),
            .priority_ = header("x-priority"),
            .silenced_ = peer->getID() < faults.silentBelow_ },
          CallerResponseWriter(std::move(socket), false), faults,
          peer->getID());
  }

  auto onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
    -> void override
  {
    if (const auto socket = aPeer->tryGetData("socket")) {
      std::static_pointer_cast<goldcrestcroft::CallerSocket>(socket)
        ->MarkDisconnected();
    }
  }

private:
  auto Serve(const StandinRequest& aRequest, CallerResponseWriter aReply,
             const Faults& aFaults, std::size_t aConnection) -> void
  {
    if (aRequest.path_ == "/faults") {
      state_->faults_.Set(aRequest.body_, aConnection);
      aReply.Send({ .body_ = "{}" });
    } else if (aRequest.path_ == "/healthz") {
      aReply.Send({ .body_ = "ok" });
    } else if (!aFaults.crashOn_.empty() &&
               aRequest.body_.find(aFaults.crashOn_) != std::string::npos) {
      std::_Exit(1);
    } else if (aFaults.hang_ || aRequest.silenced_) {
      return;
    } else if (aFaults.down_) {
      aReply.Send({ .status_ = 503, .body_ = "{}" });
    } else if (aFaults.delayMilliseconds_ > 0) {
      const auto reply =
        std::make_shared<CallerResponseWriter>(std::move(aReply));
      state_->timer_.After(
        std::chrono::milliseconds(aFaults.delayMilliseconds_),
        [state = state_, aRequest, reply, aFaults] {
          state->service_->OnRequest(aRequest, std::move(*reply), aFaults);
        });
    } else {
      state_->service_->OnRequest(aRequest, std::move(aReply), aFaults);
    }
  }

  std::shared_ptr<ServerState> state_;
};

auto Main(int aCount, char** aArguments) -> int
{
  absl::SetProgramUsageMessage(
    "A small stand-in for a part of the platform or a backend server.");
  absl::ParseCommandLine(aCount, aArguments);
  auto state = std::make_shared<ServerState>();
  state->service_ =
    MakeService(absl::GetFlag(FLAGS_kind),
                { .workMicroseconds_ = absl::GetFlag(FLAGS_work_us),
                  .slots_ = absl::GetFlag(FLAGS_slots),
                  .checksFencing_ = absl::GetFlag(FLAGS_checks_fencing) });
  if (state->service_ == nullptr) {
    std::fputs("--kind: see test/standins/Service.h\n", stderr);
    return 2;
  }
  constexpr std::size_t kMaxRequest = 16 << 20;
  Pistache::Http::Endpoint endpoint(
    Pistache::Address("127.0.0.1", absl::GetFlag(FLAGS_port)));
  endpoint.init(Pistache::Http::Endpoint::options()
                  .threads(absl::GetFlag(FLAGS_threads))
                  .flags(Pistache::Tcp::Options::ReuseAddr |
                         Pistache::Tcp::Options::NoDelay)
                  .backlog(1024)
                  .maxRequestSize(kMaxRequest));
  endpoint.setHandler(
    Pistache::Http::make_handler<StandinHandler>(std::move(state)));
  endpoint.serveThreaded();
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  auto received = 0;
  sigwait(&signals, &received);
  std::_Exit(0);
}

} // namespace

} // namespace standins

auto main(int aCount, char** aArguments) -> int
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return standins::Main(aCount, aArguments);
}
