#include "Fleet.h"

#include "../platform/TestAddress.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <thread>

namespace testing {

using namespace goldcrestcroft;

namespace {

// Generous: it only limits how long a failing test blocks CI.
constexpr auto kMaxWait = std::chrono::seconds{ 40 };
constexpr auto kPoll = std::chrono::milliseconds{ 20 };

auto Program(const std::string& aName) -> std::string
{
  return std::string(BUILD_FOLDER) + "/" + aName;
}

auto Loopback(int aPort) -> std::string
{
  return standins::TestIp() + ":" + std::to_string(aPort);
}

} // namespace

Fleet::Fleet(Options aOptions)
  : options_(aOptions)
{
  const auto step = std::to_string(options_.engineStepMicroseconds_);
  for (const auto* kind : { "table", "objects", "members", "collector" }) {
    AddStandin(kind, kind, {});
  }
  for (auto i = 0; i < 2; ++i) {
    for (const auto* kind : { "encoder", "retriever", "reranker" }) {
      AddStandin(kind + ("-" + std::to_string(i)), kind, {});
    }
  }
  for (auto i = 0; i < options_.engines_; ++i) {
    AddStandin("engine-" + std::to_string(i), "engine",
               { "--work_us=" + step });
  }
  AddStandin("service-0", "service",
             { "--work_us=" + std::to_string(options_.serviceMicroseconds_) });
  for (auto i = 0; i < options_.hosts_; ++i) {
    callerPorts_.push_back(PickPort());
    peerPorts_.push_back(PickPort());
  }
  for (auto i = 0; i < options_.hosts_; ++i) {
    StartHost(i);
  }
  Await("configuration accepted", [this] {
    return Patch(0, 0, "fleet",
                 json::array({ { { "op", "replace" },
                                 { "path", "" },
                                 { "value", Configuration() } } }))
             .status_ == 200;
  });
  for (auto i = 0; i < options_.hosts_; ++i) {
    AwaitReady(i);
    Await("hosts know each other", [this, i] {
      const auto body =
        json::parse(Get(HostAddress(i), "/v1/hosts").body_, nullptr, false);
      return body.is_object() &&
             body["hosts"].size() == static_cast<std::size_t>(options_.hosts_);
    });
  }
}

// Avoids ephemeral ports: a connection could take such a port before the
// process that is to listen on it has started.
auto Fleet::PickPort() -> int
{
  constexpr auto kFirst = 10'000;
  constexpr auto kCount = 20'000;
  // About the number of ports that all fleets of a run need.
  constexpr auto kPerProcess = 997;
  static auto next = static_cast<int>(getpid()) * kPerProcess % kCount;
  for (auto tries = 0; tries < kCount; ++tries) {
    const auto port = kFirst + next;
    next = (next + 1) % kCount;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const auto isFree =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0;
    close(descriptor);
    if (isFree) {
      return port;
    }
  }
  FAIL("no free port");
  return 0;
}

auto Fleet::AddStandin(const std::string& aName, const std::string& aKind,
                       std::vector<std::string> aArguments) -> void
{
  standinPorts_[aName] = PickPort();
  aArguments.push_back("--kind=" + aKind);
  aArguments.push_back("--port=" + std::to_string(standinPorts_[aName]));
  standinArguments_[aName] = std::move(aArguments);
  StartStandin(aName);
}

auto Fleet::StartStandin(const std::string& aName) -> void
{
  standins_.insert_or_assign(
    aName, Process(Program("test/standin"), standinArguments_.at(aName),
                   folder_.Path() + "/" + aName + ".log"));
  Await(aName + " answers", [this, &aName] {
    return Get(Address(aName), "/healthz").status_ == 200;
  });
}

auto Fleet::StartHost(int aHost) -> void
{
  const auto name = "host-" + std::to_string(aHost);
  auto seeds = json::array();
  for (const auto port : peerPorts_) {
    seeds.push_back(Loopback(port));
  }
  const json settings{
    { "host", name },
    { "availability_zone", "zone-" + std::to_string(aHost % 3) },
    { "callers",
      { { "listen", HostAddress(aHost) },
        { "keep_hosts_ms", options_.keepHostsMilliseconds_ } } },
    { "peers",
      { { "listen", Loopback(peerPorts_.at(aHost)) },
        { "seeds", seeds },
        { "shared_key", "a key for tests only" },
        { "heartbeat_ms", 100 },
        { "suspect_after_ms", 600 },
        { "gone_after_ms", 1500 } } },
    { "platform",
      { { "table", Address("table") },
        { "objects", Address("objects") },
        { "members", Address("members") },
        { "timeout_ms", 400 },
        { "members_period_ms", 200 },
        { "head_period_ms", 300 } } },
    { "collector", Address("collector") }
  };
  const auto file = folder_.Path() + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  hosts_.insert_or_assign(aHost,
                          Process(Program("goldcrestcroft/goldcrestcroft"),
                                  { "serve", "--settings=" + file },
                                  folder_.Path() + "/" + name + ".log"));
  Await(name + " answers", [this, aHost] {
    return Get(HostAddress(aHost), "/healthz").status_ == 200;
  });
}

auto Fleet::HostAddress(int aHost) const -> std::string
{
  return Loopback(callerPorts_.at(aHost));
}

auto Fleet::Address(const std::string& aName) const -> std::string
{
  return Loopback(standinPorts_.at(aName));
}

auto Fleet::SetFaults(const std::string& aName, const json& aFaults) -> void
{
  REQUIRE(Post(Address(aName), "/faults", aFaults).status_ == 200);
}

auto Fleet::Await(const std::string& aWhat, const std::function<bool()>& aHolds)
  -> void
{
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (!aHolds()) {
    if (std::chrono::steady_clock::now() > end) {
      FAIL("never came about: " << aWhat);
    }
    std::this_thread::sleep_for(kPoll);
  }
}

auto Fleet::AwaitReady(int aHost) -> void
{
  Await("host is ready", [this, aHost] {
    return Get(HostAddress(aHost), "/readyz").status_ == 200;
  });
}

auto Fleet::Pool(const std::string& aKind, const std::string& aStandin,
                 int aCount, json aExtra) const -> json
{
  json pool{ { "kind", aKind }, { "licensed_copies", aCount } };
  pool.update(aExtra);
  for (auto i = 0; i < aCount; ++i) {
    const auto name = aStandin + "-" + std::to_string(i);
    pool["servers"][name] = { { "address", Address(name) },
                              { "zone", "zone-" + std::to_string(i % 3) },
                              { "slots", options_.slots_ } };
  }
  return pool;
}

auto Fleet::Configuration() const -> json
{
  const auto stages = json::array({ { { "pool", "encoders" } },
                                    { { "pool", "retrievers" } },
                                    { { "pool", "rerankers" } },
                                    { { "pool", "engines" } } });
  return {
    { "workspaces",
      { { "gallery", json::object() }, { "payments", json::object() } } },
    { "pools",
      { { "encoders", Pool("encode", "encoder", 2, json::object()) },
        { "retrievers", Pool("retrieve", "retriever", 2, json::object()) },
        { "rerankers", Pool("rerank", "reranker", 2, json::object()) },
        { "engines", Pool("generate", "engine", options_.engines_,
                          { { "silence_ms", 500 }, { "expected_ms", 30 } }) },
        { "payouts",
          Pool("call", "service", 1,
               { { "idempotent", false }, { "silence_ms", 5000 } }) } } },
    { "pipelines",
      { { "critique",
          { { "stages", stages },
            { "workspaces", json::array({ "gallery" }) } } },
        { "payout",
          { { "stages", json::array({ { { "pool", "payouts" } } }) },
            { "workspaces", json::array({ "payments" }) } } } } }
  };
}

auto OutcomeOf(const HttpResponse& aReply) -> std::string
{
  if (aReply.end_ != HttpOutcome::Answered) {
    return "no answer: " + aReply.error_;
  }
  const auto body = json::parse(aReply.body_, nullptr, false);
  return body.is_object() ? body.value("outcome", "none named") : "unreadable";
}

auto TextOf(const HttpResponse& aReply) -> std::string
{
  const auto body = json::parse(aReply.body_, nullptr, false);
  return body.is_object() ? body.value("text", "") : "";
}

auto DigestOf(const std::string& aInput) -> std::string
{
  return ToHex(Fingerprint(aInput));
}

auto LoadRequestOf(const Ask& aAsk) -> LoadRequest
{
  return { .name_ = aAsk.pipeline_,
           .pipeline_ = aAsk.pipeline_,
           .workspace_ = aAsk.workspace_,
           .input_ = aAsk.input_,
           .maxTokens_ = aAsk.maxTokens_,
           .deadlineMilliseconds_ =
             static_cast<unsigned>(aAsk.deadlineMilliseconds_),
           .keyed_ = !aAsk.key_.empty() };
}

} // namespace testing
