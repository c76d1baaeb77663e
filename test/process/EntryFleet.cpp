#include "EntryFleet.h"

#include <sys/socket.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace testing {

using namespace goldcrestcroft;

namespace {

constexpr unsigned kFirstPort = 8300;
constexpr unsigned kPortsOfHost = 10;

auto ReadResponse(Tcp::socket& aSocket, bool aHead) -> CallerResponse
{
  CallerResponse response;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.skip(aHead);
  boost::system::error_code error;
  http::read_header(aSocket, buffer, parser, error);
  if (error) {
    return response;
  }
  response.status_ = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    response.headers_[std::string(field.name_string())] =
      std::string(field.value());
  }
  http::read(aSocket, buffer, parser, error);
  response.whole_ = !error && parser.is_done();
  response.body_ = parser.get().body();
  return response;
}

} // namespace

auto CountOf(const std::string& aText, const std::string& aPart) -> int
{
  auto count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

auto SendCall(const std::string& aAddress, const CallerCall& aCall)
  -> CallerResponse
{
  asio::io_context context;
  Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(ParseTcpEndpoint(aAddress), error);
  if (error) {
    return {};
  }
  const timeval timeout{ .tv_sec = 8 };
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  if (aCall.raw_) {
    asio::write(socket, asio::buffer(*aCall.raw_), error);
  } else {
    http::request<http::string_body> request(
      http::string_to_verb(aCall.method_), aCall.target_, 11, aCall.body_);
    for (const auto& [name, value] : aCall.headers_) {
      request.set(name, value);
    }
    request.prepare_payload();
    http::write(socket, request, error);
  }
  return ReadResponse(socket, aCall.method_ == "HEAD");
}

EntryFleet::EntryFleet(std::size_t aHosts,
                       standins::PlatformStandin::Options aPlatform,
                       const std::string& aSettings)
  : platform_(aPlatform)
{
  for (std::size_t i = 0; i < aHosts; ++i) {
    std::ofstream file(folder_.Path() + "/host-" + std::to_string(i) + ".json");
    file << R"({"host": "h)" << i << R"(", "availability_zone": "z1",)"
         << R"("ip": ")" << standins::TestIp() << R"(", "callers": ")"
         << Port(i, 0) << R"(", "readiness": ")" << Port(i, 1)
         << R"(", "directory": ")" << Port(i, 2) << R"(", "metrics": ")"
         << Port(i, 3) << R"(", "peer_port": )"
         << kFirstPort + i * kPortsOfHost + 5 << R"(, "store": ")"
         << (i < aPlatform.extraStoreEndpoints_ ? platform_.EndpointAddress(i)
                                                : platform_.StoreAddress())
         << R"(", "grace_s": 5, "directory_keep_s": 0.3)" << aSettings << "}";
  }
  processes_.reserve(aHosts);
  for (std::size_t i = 0; i < aHosts; ++i) {
    processes_.emplace_back(
      std::string(BUILD_FOLDER) + "/goldcrestcroft/goldcrestcroft-entry",
      std::vector<std::string>{ folder_.Path() + "/host-" + std::to_string(i) +
                                ".json" },
      folder_.Path() + "/log-" + std::to_string(i));
  }
}

auto EntryFleet::Start(std::size_t aHost) -> void
{
  StartWithLog(aHost, folder_.Path() + "/log-" + std::to_string(aHost));
}

auto EntryFleet::StartWithLog(std::size_t aHost, const std::string& aLog)
  -> void
{
  processes_[aHost] = Process(
    std::string(BUILD_FOLDER) + "/goldcrestcroft/goldcrestcroft-entry",
    { folder_.Path() + "/host-" + std::to_string(aHost) + ".json" }, aLog);
}

auto EntryFleet::Port(std::size_t aHost, unsigned aUse) const -> std::string
{
  return standins::TestIp() + ":" +
         std::to_string(kFirstPort + aHost * kPortsOfHost + aUse);
}

auto EntryFleet::AwaitReady(std::size_t aHost) -> bool
{
  return Await([&] { return IsReady(aHost); });
}

auto EntryFleet::AwaitDiscovery() -> bool
{
  return Await([&] {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const auto known = Directory(i).body_;
      for (std::size_t other = 0; other < processes_.size(); ++other) {
        if (known.find('"' + Port(other, 0) + '"') == std::string::npos) {
          return false;
        }
      }
    }
    return true;
  });
}

auto EntryFleet::IsReady(std::size_t aHost) const -> bool
{
  return SendCall(Port(aHost, 1), { .target_ = "/readyz" }).status_ == 200;
}

auto EntryFleet::LastId() const -> std::string
{
  return "request-" + std::to_string(calls_);
}

auto EntryFleet::Complete(CallerCall aCall) -> CallerCall
{
  const auto add = [&](const std::string& aName, const std::string& aValue) {
    aCall.headers_.emplace(aName, aValue);
  };
  add("Host", "try.example");
  add("X-Api-Key", "key1");
  add("Goldcrestcroft-Request-Id", "request-" + std::to_string(++calls_));
  add("Goldcrestcroft-Deadline-Ms", "2500");
  add("Goldcrestcroft-Pieces", "2,3");
  add("Goldcrestcroft-Piece-Key", "abc");
  return aCall;
}

auto EntryFleet::MakeCall(const std::string& aTarget) -> CallerCall
{
  return Complete({ .target_ = aTarget });
}

auto EntryFleet::Call(std::size_t aHost, CallerCall aCall) -> CallerResponse
{
  return SendCall(Port(aHost, 0), Complete(std::move(aCall)));
}

auto EntryFleet::OpenConnections(std::size_t aHost, std::size_t aCount)
  -> std::vector<std::unique_ptr<Tcp::socket>>
{
  std::vector<std::unique_ptr<Tcp::socket>> sockets;
  for (; aCount > 0; --aCount) {
    sockets.push_back(std::make_unique<Tcp::socket>(context_));
    sockets.back()->connect(ParseTcpEndpoint(Port(aHost, 0)));
  }
  return sockets;
}

auto EntryFleet::Leave(std::size_t aHost, CallerCall aCall) -> std::string
{
  constexpr auto kDelayBeforeClose = std::chrono::milliseconds{ 150 };
  const auto call = Complete(std::move(aCall));
  const auto sockets = OpenConnections(aHost, 1);
  http::request<http::string_body> request(http::string_to_verb(call.method_),
                                           call.target_, 11, call.body_);
  for (const auto& [name, value] : call.headers_) {
    request.set(name, value);
  }
  request.prepare_payload();
  http::write(*sockets[0], request);
  std::this_thread::sleep_for(kDelayBeforeClose);
  return call.headers_.at("Goldcrestcroft-Request-Id");
}

auto EntryFleet::Get(std::size_t aHost, const std::string& aTarget)
  -> CallerResponse
{
  return Call(aHost, { .target_ = aTarget });
}

auto EntryFleet::Directory(std::size_t aHost) -> CallerResponse
{
  return SendCall(Port(aHost, 2),
                  { .target_ = "/resolve?name=try.example&zone=z1" });
}

auto EntryFleet::Log(std::size_t aHost) const -> std::string
{
  std::ifstream file(folder_.Path() + "/log-" + std::to_string(aHost));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto EntryFleet::ChangeSettings(std::size_t aHost, const std::string& aOld,
                                const std::string& aNew) const -> void
{
  const auto file = folder_.Path() + "/host-" + std::to_string(aHost) + ".json";
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  auto settings = text.str();
  settings.replace(settings.find(aOld), aOld.size(), aNew);
  std::ofstream(file) << settings;
}

auto EntryFleet::RestartWith(std::size_t aHost, const std::string& aOld,
                             const std::string& aNew) -> void
{
  ChangeSettings(aHost, aOld, aNew);
  ProcessOf(aHost).Kill();
  Start(aHost);
}

auto EntryFleet::RunsOf(const std::string& aService, const std::string& aId)
  -> int
{
  auto runs = 0;
  for (const auto& engine : platform_.Engines(aService)) {
    runs += engine->Runs()[aId];
  }
  return runs;
}

} // namespace testing
