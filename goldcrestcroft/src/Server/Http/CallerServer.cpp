#include "CallerServer.h"

#include "CallerHandler.h"

#include <pistache/endpoint.h>

namespace goldcrestcroft {

namespace {

constexpr Duration kHeaderTimeout = std::chrono::seconds{ 10 };
constexpr Duration kBodyTimeout = std::chrono::seconds{ 60 };
// Allowance for the request line and headers beside the body.
constexpr std::size_t kHeadBytes = 16'384;

} // namespace

class CallerServer::Impl
{
public:
  Impl(Options aOptions, Metrics& aMetrics)
    : context_(std::make_shared<CallerContext>(std::move(aOptions), aMetrics))
  {
  }

  auto Start() -> Result<void>
  {
    const auto& callers = context_->options_.settings_.callers_;
    try {
      const Pistache::Address address(callers.listen_.ip_,
                                      callers.listen_.port_);
      endpoint_ = std::make_unique<Pistache::Http::Endpoint>(address);
      endpoint_->init(Pistache::Http::Endpoint::options()
                        .threads(static_cast<int>(callers.threads_))
                        .flags(Pistache::Tcp::Options::ReuseAddr |
                               Pistache::Tcp::Options::NoDelay)
                        .backlog(1024)
                        .maxRequestSize(callers.maxBodyBytes_ + kHeadBytes)
                        .headerTimeout(kHeaderTimeout)
                        .bodyTimeout(kBodyTimeout)
                        .keepaliveTimeout(callers.idle_));
      endpoint_->setHandler(
        Pistache::Http::make_handler<CallerHandler>(context_));
      endpoint_->serveThreaded();
    } catch (const std::exception& failure) {
      return Fail({ .kind_ = ErrorKind::Unavailable,
                    .message_ = "callers.listen " + callers.listen_.ToString() +
                                " cannot be served: " + failure.what(),
                    .remedy_ = "stop what uses the port or choose another" });
    }
    return {};
  }

  auto Stop() -> void
  {
    if (endpoint_) {
      endpoint_->shutdown();
    }
  }

private:
  std::shared_ptr<CallerContext> context_;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
};

CallerServer::CallerServer(Options aOptions, Metrics& aMetrics)
  : impl_(std::make_unique<Impl>(std::move(aOptions), aMetrics))
{
}

CallerServer::~CallerServer() = default;

auto CallerServer::Start() -> Result<void>
{
  return impl_->Start();
}

auto CallerServer::Stop() -> void
{
  impl_->Stop();
}

} // namespace goldcrestcroft
