#include "PlatformStandin.h"

#include <nlohmann/json.hpp>

namespace standins {

using namespace goldcrestcroft;
using nlohmann::json;

namespace {

auto Route(const std::string& aPrefix, const std::string& aKind,
           const std::string& aService, unsigned aAttempts) -> json
{
  return { { "name", "r" + aPrefix },
           { "host", "try.example" },
           { "prefix", aPrefix },
           { "route_type", aKind },
           { "timeout_ms", 3000 },
           { "target_latency_ms", 500 },
           { "priority", 0 },
           { "service", aService },
           { "max_attempts", aAttempts } };
}

auto StageService(const std::string& aName) -> json
{
  return { { "name", aName },
           { "health_path", EngineStandin::kHealthPath },
           { "pieces",
             { { "slots", 1 },
               { "queue", 2 },
               { "batch", 4 },
               { "call_ms", 20 },
               { "item_ms", 2 },
               { "headroom_mb", 10 },
               { "handle_s", 4 } } } };
}

} // namespace

PlatformStandin::PlatformStandin(Options aOptions)
  : options_(std::move(aOptions))
{
  store_ = std::make_unique<StoreStandin>(context_, StoreAddress());
  for (std::size_t endpoint = 0; endpoint < options_.extraStoreEndpoints_;
       ++endpoint) {
    store_->AddEndpoint(EndpointAddress(endpoint));
  }
  auto port = options_.firstPort_;
  for (const auto* service : { "desk", "model", "cutter", "ranker" }) {
    for (std::size_t i = 0; i < options_.enginesPerService_; ++i) {
      const auto id = "i-" + std::string(service) + std::to_string(i);
      const auto prefix = options_.ip_ + ":";
      ++port;
      engines_[service].push_back(std::make_unique<EngineStandin>(
        context_, prefix + std::to_string(port), id,
        prefix + std::to_string(port + options_.advertisedPortOffset_)));
      auto& engine = *engines_[service].back();
      const auto enter = [this, &engine, id, service = std::string(service)] {
        store_->Put("servers", id, engine.Entry(service));
      };
      engine.SetOnStart(enter);
      enter();
    }
  }
  PutConfig(1);
  thread_ = std::thread([this] { context_.run(); });
}

PlatformStandin::~PlatformStandin()
{
  context_.stop();
  thread_.join();
}

auto PlatformStandin::StoreAddress() const -> std::string
{
  return options_.ip_ + ":" + std::to_string(options_.firstPort_);
}

auto PlatformStandin::EndpointAddress(std::size_t aIndex) const -> std::string
{
  constexpr std::size_t kFirstPort = 7200;
  return options_.ip_ + ":" + std::to_string(kFirstPort + aIndex);
}

auto PlatformStandin::PutConfig(unsigned aVersion,
                                const std::string& aExtraPrefix,
                                const std::vector<std::string>& aKeys,
                                std::chrono::milliseconds aIdleTime) -> void
{
  auto stream = Route("/stream/", "streaming", "model", 2);
  stream["stream_resume"] = true;
  stream["session_affinity"] = true;
  stream["stages"] =
    json::array({ { { "service", "cutter" }, { "bytes", 1000 } },
                  { { "service", "ranker" },
                    { "after", json::array({ 0 }) },
                    { "bytes", 500 } } });
  auto once = Route("/once/stream/", "streaming", "model", 1);
  auto routes =
    json::array({ Route("/safe/", "safe", "desk", 2),
                  Route("/unsafe/", "unsafe", "desk", 1), stream, once });
  if (!aExtraPrefix.empty()) {
    routes.push_back(Route(aExtraPrefix, "safe", "desk", 2));
  }
  const json config{
    { "version", aVersion },
    { "route_table", routes },
    { "services",
      json::array(
        { { { "name", "desk" }, { "health_path", EngineStandin::kHealthPath } },
          { { "name", "model" },
            { "health_path", EngineStandin::kHealthPath },
            { "engine", { { "slots", 8 } } } },
          StageService("cutter"),
          StageService("ranker") }) },
    { "limits",
      { { "max_header_bytes", options_.maxHeaderBytes_ },
        { "max_body_bytes", options_.maxBodyBytes_ },
        { "idle_timeout_ms", aIdleTime.count() } } },
    { "tenants",
      json::array({ { { "name", "w1" }, { "api_keys", json(aKeys) } } }) }
  };
  store_->Put("op", "config", config.dump());
}

auto PlatformStandin::SetFaultMode(const std::string& aService,
                                   EngineStandin::Trouble aTrouble) -> void
{
  for (const auto& engine : engines_[aService]) {
    engine->trouble_ = aTrouble;
  }
}

} // namespace standins
