// Plays one case: play NUMBER FOLDER. Exits with 1 if the rule was broken, 0 if
// it held, 2 if the case could not run.

#include "Deployment.h"

#include <csignal>
#include <cstdio>
#include <sys/wait.h>

namespace {

using namespace play;

constexpr auto kHeld = 0;
constexpr auto kBroken = 1;
constexpr auto kNotRun = 2;

auto Route(const std::string& aName, const std::string& aPrefix,
           const std::string& aType, const std::string& aService,
           const std::string& aMore) -> std::string
{
  return R"({"name":")" + aName + R"(","host":"pule25.example","prefix":")" +
         aPrefix + R"(","route_type":")" + aType + R"(","priority":0,)" +
         R"("service":")" + aService + R"(",)" + aMore + "}";
}

auto Service(const std::string& aName, int aConnections) -> std::string
{
  return R"({"name":")" + aName + R"(","health_path":"/healthz",)" +
         R"("max_connections":)" + std::to_string(aConnections) + "}";
}

/** A plain service, as desk-api of Tumen Craft: 3 engines, 6 slots, 52
 * connections. */
auto DeskConfig(int aVersion, bool aWithStatus) -> std::string
{
  auto routes =
    Route("payout", "/payout/", "unsafe", "desk-api",
          R"("timeout_ms":3000,"target_latency_ms":100,"max_attempts":1)");
  routes += "," + Route("proposal", "/proposal/", "safe", "desk-api",
                        R"("timeout_ms":3000,"target_latency_ms":100,)"
                        R"("max_attempts":2)");
  if (aWithStatus) {
    routes += "," + Route("status", "/status/", "safe", "desk-api",
                          R"("timeout_ms":3000,"target_latency_ms":100,)"
                          R"("max_attempts":2)");
  }
  return MakeConfig(aVersion, routes, Service("desk-api", 52));
}

/** Runs a plain request for 15 ms. */
auto RunPlain(const Engine& aEngine, Connection& aConnection,
              const Request& aRequest) -> bool
{
  const auto id = aRequest.Header("goldcrestcroft-request-id");
  TheRecord().Line(aEngine.id_, "runs " + id + " " + aRequest.method_ + " " +
                                  aRequest.target_ + " with a body of " +
                                  std::to_string(aRequest.body_.size()) +
                                  " bytes");
  SleepMs(15);
  return aConnection.Write(Answer(aEngine, aRequest, "done " + id + "\n"));
}

auto FirstLine(const Response& aResponse) -> std::string
{
  return aResponse.head_.empty()
           ? "no response (" + aResponse.problem_ + ")"
           : aResponse.head_.substr(0, aResponse.head_.find("\r\n"));
}

/** One request on a connection of its own. */
auto Ask(const Host& aHost, const std::string& aMethod,
         const std::string& aTarget, const std::string& aId,
         const std::string& aBody) -> Response
{
  const auto connection = Connect(aHost.ip_, Deployment::kCallers);
  if (!connection) {
    Response response;
    response.problem_ = "not connected";
    return response;
  }
  connection->SetTimeout(std::chrono::milliseconds(4000));
  connection->Write(CallerHead(aMethod, aTarget, aId, 3000) +
                    "Content-Length: " + std::to_string(aBody.size()) +
                    "\r\n\r\n" + aBody);
  auto response = ReadResponse(*connection, aMethod == "HEAD");
  TheRecord().Line("client", aId + " " + aMethod + " " + aTarget + " at " +
                               aHost.name_ + ": " + FirstLine(response));
  return response;
}

// Streams that end with their connection, while an engine drains and leaves.

constexpr auto kEvents = 40;
constexpr auto kPauseMs = 100;

auto RunUnframedStream(const Engine& aEngine, Connection& aConnection,
                       const Request& aRequest) -> bool
{
  const auto id = aRequest.Header("goldcrestcroft-request-id");
  const auto last = aRequest.Header("last-event-id");
  const auto first = last.empty() ? 1 : std::stoi(last) + 1;
  TheRecord().Line(aEngine.id_,
                   "runs " + id + " from event " + std::to_string(first));
  WriteLocked(aConnection,
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              "Goldcrestcroft-Request-Id: " +
                id + "\r\nGoldcrestcroft-Server-Seal: seal." + aEngine.id_ +
                "." + id + "\r\nConnection: close\r\n\r\n");
  for (auto event = first; event <= kEvents; ++event) {
    SleepMs(kPauseMs);
    const auto number = std::to_string(event);
    if (!WriteLocked(aConnection,
                     "id: " + number + "\ndata: tokens " + number + "\n\n")) {
      return false;
    }
  }
  TheRecord().Line(aEngine.id_, "has sent all of " + id);
  return false;
}

auto CountEvents(const std::string& aBody) -> int
{
  auto count = 0;
  for (auto at = aBody.find("data:"); at != std::string::npos;
       at = aBody.find("data:", at + 1)) {
    ++count;
  }
  return count;
}

auto PlayDrainedStreams() -> int
{
  constexpr auto kStreams = 24;
  constexpr auto kDrainMs = 2000;
  Deployment deployment(RunUnframedStream);
  deployment.AddEngines("croft-models", 3, 64);
  const auto routes =
    Route("brief", "/brief/", "streaming", "croft-models",
          R"("timeout_ms":15000,"target_latency_ms":1200,"gap_target_ms":250,)"
          R"("max_attempts":2,"stream_resume":true,"session_affinity":true)");
  if (!deployment.Start(
        MakeConfig(100, routes, Service("croft-models", 280)))) {
    return kNotRun;
  }
  std::vector<Response> responses(kStreams);
  std::vector<std::thread> clients;
  for (auto i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const auto& host = deployment.Hosts()[static_cast<std::size_t>(i) % 3];
      const auto id = "b" + std::to_string(i);
      const auto connection = Connect(host.ip_, Deployment::kCallers);
      if (!connection) {
        return;
      }
      connection->SetTimeout(std::chrono::milliseconds(10'000));
      TheRecord().Line("client", "sends " + id + " to " + host.name_);
      connection->Write(CallerHead("POST", "/brief/x", id, 15'000) +
                        "Goldcrestcroft-Model: m\r\n"
                        "Goldcrestcroft-Token-Count: 150,240\r\n"
                        "Goldcrestcroft-Prefix-Hash: a" +
                        std::to_string(i) + ":100,b" + std::to_string(i) +
                        ":50\r\nContent-Length: 2\r\n\r\nhi");
      auto& response = responses[static_cast<std::size_t>(i)];
      response = ReadResponse(*connection, false);
      TheRecord().Line("client",
                       id + " got " + FirstLine(response) + ", " +
                         std::to_string(CountEvents(response.body_)) +
                         " events, the body " +
                         (response.complete_ ? "ends as complete" : "is cut"));
    });
  }
  auto& leaving = deployment.Engines().front();
  if (WithTrouble()) {
    SleepMs(600);
    deployment.TheStore().Put("servers", leaving.id_,
                              leaving.Entry("draining"));
    TheRecord().Line("store", "accepted that " + leaving.id_ + " is draining");
    SleepMs(kDrainMs + 500);
    kill(leaving.pid_, SIGTERM);
    waitpid(leaving.pid_, nullptr, 0);
    leaving.pid_ = 0;
    deployment.TheStore().Put("servers", leaving.id_, std::nullopt);
    TheRecord().Line("store", leaving.id_ + " is gone");
  }
  for (auto& client : clients) {
    client.join();
  }
  auto early = 0;
  auto whole = 0;
  for (const auto& response : responses) {
    const auto events = CountEvents(response.body_);
    const auto succeeded = response.status_ == 200 && response.complete_;
    early += succeeded && events < kEvents ? 1 : 0;
    whole += succeeded && events == kEvents ? 1 : 0;
  }
  TheRecord().Line("check", std::to_string(whole) + " streams are whole, " +
                              std::to_string(early) +
                              " end as complete before their last event");
  if (early > 0) {
    return kBroken;
  }
  return whole > 0 ? kHeld : kNotRun;
}

// Entries of another writer that lack a field.

/** A server of the other system answers as it does, without a seal. */
auto RunForeign(const Engine& aEngine, Connection& aConnection,
                const Request& aRequest) -> bool
{
  if (aEngine.listed_) {
    return RunPlain(aEngine, aConnection, aRequest);
  }
  TheRecord().Line(aEngine.id_, "of another system, runs " +
                                  aRequest.Header("goldcrestcroft-request-id") +
                                  " " + aRequest.method_ + " " +
                                  aRequest.target_);
  return aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n");
}

auto PlayForeignEntries() -> int
{
  constexpr auto kRequests = 60;
  Deployment deployment(RunForeign);
  deployment.AddEngines("desk-api", 3, 6);
  const std::vector<std::string> lacking{ "version", "warmup_left_ms",
                                          "sequence" };
  for (const auto& field : lacking) {
    deployment.AddForeignServer("without-" + field + "-");
  }
  if (!deployment.Start(DeskConfig(100, true))) {
    return kNotRun;
  }
  if (WithTrouble()) {
    for (std::size_t i = 0; i < lacking.size(); ++i) {
      auto server = deployment.Engines()[3 + i];
      server.service_ = "desk-api";
      auto entry = server.Entry("ready");
      const auto at = entry.find(",\"" + lacking[i] + "\":");
      entry.erase(at, entry.find(',', at + 1) - at);
      deployment.TheStore().Put("servers", server.id_, entry);
      TheRecord().Line("another writer",
                       "writes servers/" + server.id_ + " " + entry);
    }
    SleepMs(1500);
  }
  auto answered = 0;
  for (auto i = 0; i < kRequests; ++i) {
    const auto& host = deployment.Hosts()[static_cast<std::size_t>(i) % 3];
    const auto id = "pay" + std::to_string(i);
    answered += Ask(host, "POST", "/payout/pay", id, "").status_ == 200 ? 1 : 0;
  }
  auto foreign = 0;
  for (const auto& line : TheRecord().Lines()) {
    foreign += line.find("of another system, runs pay") != std::string::npos;
  }
  TheRecord().Line("check", std::to_string(answered) + " of " +
                              std::to_string(kRequests) +
                              " requests were answered with success; " +
                              std::to_string(foreign) +
                              " were run by servers of another system");
  return foreign > 0 ? kBroken : answered == kRequests ? kHeld : kNotRun;
}

// A chunked body whose framing does not end.

constexpr std::size_t kMemoryBytes = 260U << 20U;

/** Sends to the host until the bytes are sent, the host closes, or its process
 * is over the memory of its machine; returns the most that it held. */
auto SendFraming(const Deployment& aDeployment, const Host& aHost, int aPort,
                 const std::string& aTarget, bool aTrailer) -> std::size_t
{
  // Half of what a link of 1,000 Mbit/s carries.
  constexpr std::size_t kPieceBytes = 320'000;
  constexpr auto kPieceMs = 5;
  constexpr std::size_t kTotalBytes = 400'000'000;
  const auto connection = Connect(aHost.ip_, aPort);
  if (!connection) {
    return 0;
  }
  const auto head = "POST " + aTarget + " HTTP/1.1\r\nHost: " + aHost.ip_ +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!WithTrouble()) {
    connection->Write(head + "1000\r\n" + std::string(4096, 'a') +
                      "\r\n0\r\n\r\n");
    const auto response = ReadResponse(*connection, false);
    TheRecord().Line("client", "sent a chunk of 4,096 bytes to " + aTarget +
                                 " of " + aHost.name_ + " and got status " +
                                 std::to_string(response.status_));
    return aDeployment.ResidentBytes(aHost);
  }
  connection->Write(head + (aTrailer ? "1\r\na\r\n0\r\n" : "1;"));
  const auto line = "x: " + std::string(635, 'v') + "\r\n";
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += aTrailer ? line : std::string(640, 'e');
  }
  std::size_t most = 0;
  std::size_t sent = 0;
  while (sent < kTotalBytes && most <= kMemoryBytes &&
         connection->Write(piece)) {
    sent += piece.size();
    most = std::max(most, aDeployment.ResidentBytes(aHost));
    SleepMs(kPieceMs);
  }
  TheRecord().Line(
    "client", "sent " + std::to_string(sent / 1'000'000) + " MB of " +
                (aTrailer ? "a trailer" : "a chunk header") + " to " + aTarget +
                " of " + aHost.name_ + ", whose process then held " +
                std::to_string(most >> 20U) + " MB");
  return most;
}

auto PlayEndlessFraming() -> int
{
  constexpr auto kRounds = 3;
  Deployment deployment(RunPlain);
  deployment.AddEngines("desk-api", 3, 6);
  if (!deployment.Start(DeskConfig(100, true))) {
    return kNotRun;
  }
  std::map<std::string, int> ends;
  for (auto round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < deployment.Hosts().size(); ++i) {
      auto& host = deployment.Hosts()[i];
      const auto atReady = i == 2;
      const auto most = SendFraming(
        deployment, host, atReady ? Deployment::kReady : Deployment::kCallers,
        atReady ? "/readyz" : "/nowhere", i == 1);
      if (most > kMemoryBytes) {
        ++ends[host.name_];
        TheRecord().Line("platform",
                         "kills " + host.name_ + ": over its 260 MB of memory");
        deployment.KillAndRestart(host);
      }
    }
    for (const auto& host : deployment.Hosts()) {
      if (!deployment.AwaitReady(host)) {
        return kNotRun;
      }
      Ask(host, "GET", "/proposal/x",
          "ask-" + host.name_ + "-" + std::to_string(round), "");
    }
  }
  auto often = 0;
  for (const auto& [host, count] : ends) {
    often += count >= kRounds ? 1 : 0;
  }
  TheRecord().Line("check",
                   std::to_string(often) + " hosts of 3 ended three times");
  return often >= 2 ? kBroken : kHeld;
}

// A refusal of a HEAD request, and the next request on the connection.

auto PlayRefusedHead() -> int
{
  constexpr auto kConfigMs = 2000;
  Deployment deployment(RunPlain);
  deployment.AddEngines("desk-api", 3, 6);
  if (!deployment.Start(DeskConfig(100, true))) {
    return kNotRun;
  }
  std::vector<std::unique_ptr<Connection>> connections;
  for (const auto& host : deployment.Hosts()) {
    connections.push_back(Connect(host.ip_, Deployment::kCallers));
    if (!connections.back()) {
      return kNotRun;
    }
    connections.back()->SetTimeout(std::chrono::milliseconds(4000));
  }
  const auto exchange = [&](std::size_t aHost, const std::string& aMethod,
                            const std::string& aTarget,
                            const std::string& aId) {
    auto& connection = *connections[aHost];
    connection.Write(
      CallerHead(aMethod, aTarget, aId, 3000) +
      (aMethod == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n"));
    auto response = ReadResponse(connection, aMethod == "HEAD");
    TheRecord().Line("client", aId + " " + aMethod + " " + aTarget + " at " +
                                 deployment.Hosts()[aHost].name_ + ": " +
                                 FirstLine(response));
    if (!response.problem_.empty()) {
      TheRecord().Line("client", response.problem_);
    }
    return response;
  };
  auto garbled = 0;
  auto answered = 0;
  for (std::size_t host = 0; host < connections.size(); ++host) {
    exchange(host, "HEAD", "/status/x", "first" + std::to_string(host));
  }
  if (WithTrouble()) {
    deployment.SetConfig(DeskConfig(103, false));
    TheRecord().Line("operator", "configuration 103 drops the route /status/");
  }
  SleepMs(kConfigMs + 1000);
  for (std::size_t host = 0; host < connections.size(); ++host) {
    const auto number = std::to_string(host);
    const auto head = exchange(host, "HEAD", "/status/x", "head" + number);
    const auto closes =
      head.head_.find("Connection: close") != std::string::npos;
    if (head.status_ == 0 || closes) {
      continue;
    }
    const auto next = exchange(host, "POST", "/payout/pay", "pay" + number);
    garbled += next.head_.starts_with("HTTP/1.1 ") ? 0 : 1;
    answered += next.status_ == 200 ? 1 : 0;
  }
  TheRecord().Line("check", std::to_string(answered) +
                              " requests after a HEAD were answered, " +
                              std::to_string(garbled) +
                              " got bytes that are no response");
  return garbled > 0 ? kBroken : answered > 0 ? kHeld : kNotRun;
}

// Requests that the host fails to pass on, and what is left for the others.

auto PlayRefusedMethod() -> int
{
  constexpr auto kBad = 60;
  constexpr auto kSeconds = 15;
  Deployment deployment(RunPlain);
  deployment.AddEngines("desk-api", 3, 6);
  if (!deployment.Start(DeskConfig(100, true))) {
    return kNotRun;
  }
  for (const auto& host : deployment.Hosts()) {
    for (auto i = 0; i < kBad; ++i) {
      Ask(host, WithTrouble() ? "TRACE" : "POST", "/proposal/x",
          "odd-" + host.name_ + "-" + std::to_string(i), "hi");
    }
  }
  TheRecord().Line("client", "the last of these requests is answered; only "
                             "ordinary ones follow");
  auto served = 0;
  auto asked = 0;
  auto ready = 0;
  for (auto second = 0; second < kSeconds; ++second) {
    for (const auto& host : deployment.Hosts()) {
      const auto id = "after-" + host.name_ + "-" + std::to_string(second);
      served += Ask(host, "GET", "/proposal/x", id, "").status_ == 200 ? 1 : 0;
      ready += deployment.IsReady(host) ? 1 : 0;
      ++asked;
    }
    SleepMs(1000);
  }
  TheRecord().Line("check",
                   std::to_string(served) + " of " + std::to_string(asked) +
                     " ordinary requests were served; the hosts said " +
                     std::to_string(ready) + " times that they are ready");
  // The rule speaks of no request at all; some that fail are no breach of it.
  return served == 0 && ready == asked ? kBroken : kHeld;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: play CASE FOLDER\n");
    return kNotRun;
  }
  const std::string name = aArguments[1];
  TheRecord().Open(std::string(aArguments[2]) + "/record.txt");
  const auto end = name == "endless-framing"   ? PlayEndlessFraming()
                   : name == "drained-streams" ? PlayDrainedStreams()
                   : name == "foreign-entries" ? PlayForeignEntries()
                   : name == "refused-head"    ? PlayRefusedHead()
                   : name == "refused-method"  ? PlayRefusedMethod()
                                               : kNotRun;
  std::printf("%s\n", end == kBroken ? "the rule was broken"
                      : end == kHeld ? "the rule held"
                                     : "the case could not run");
  return end;
}
