#include "Deployment.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace play {

namespace {

std::mutex gEngineWrites;

auto NowMs() -> std::int64_t
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

auto AddressOf(const std::string& aIp, int aPort) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

auto OpenListener(const std::string& aIp, int aPort) -> int
{
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = AddressOf(aIp, aPort);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

auto Lower(std::string aText) -> std::string
{
  for (auto& letter : aText) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

auto ReadRequest(Connection& aConnection) -> std::optional<Request>
{
  const auto head = aConnection.ReadUntil("\r\n\r\n");
  if (head.empty()) {
    return std::nullopt;
  }
  Request request;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  first >> request.method_ >> request.target_;
  while (std::getline(lines, line)) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      request.headers_[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto length = request.Header("content-length");
  if (!length.empty()) {
    auto body = aConnection.ReadExactly(std::stoul(length));
    if (!body) {
      return std::nullopt;
    }
    request.body_ = std::move(*body);
  }
  return request;
}

constexpr char kBase64[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto Encode(const std::string& aBytes) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k])
                                     : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text +=
        i + k <= aBytes.size() ? kBase64[group >> (18U - 6U * k) & 63U] : '=';
    }
  }
  return text;
}

auto Decode(const std::string& aText) -> std::string
{
  std::string bytes;
  std::uint32_t group = 0;
  auto bits = 0;
  for (const auto letter : aText) {
    const auto* at = std::strchr(kBase64, letter);
    if (letter == '=' || at == nullptr) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(at - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return bytes;
}

/** The text of a field of flat JSON, from aFrom on. */
auto TextField(const std::string& aJson, const std::string& aName,
               std::size_t aFrom) -> std::string
{
  const auto at = aJson.find("\"" + aName + "\":\"", aFrom);
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + aName.size() + 4;
  return aJson.substr(begin, aJson.find('"', begin) - begin);
}

auto QueryValue(const std::string& aTarget, const std::string& aName)
  -> std::string
{
  for (const auto* lead : { "?", "&" }) {
    const auto at = aTarget.find(lead + aName + "=");
    if (at != std::string::npos) {
      const auto begin = at + aName.size() + 2;
      return aTarget.substr(begin, aTarget.find('&', begin) - begin);
    }
  }
  return "";
}

auto Reply(Connection& aConnection, int aStatus, const std::string& aBody)
  -> bool
{
  return aConnection.Write("HTTP/1.1 " + std::to_string(aStatus) +
                           " -\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

} // namespace

auto TheRecord() -> Record&
{
  static Record record;
  return record;
}

auto Record::Open(const std::string& aFile) -> void
{
  file_ = aFile;
  fd_ = open(aFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
  startedAt_ = NowMs();
}

auto Record::Line(const std::string& aWho, const std::string& aWhat) const
  -> void
{
  char when[32];
  std::snprintf(when, sizeof(when), "%7lld ms  ",
                static_cast<long long>(NowMs() - startedAt_));
  const auto line = when + aWho + "  " + aWhat + "\n";
  [[maybe_unused]] const auto written = write(fd_, line.data(), line.size());
}

auto Record::Lines() const -> std::vector<std::string>
{
  std::ifstream in(file_);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

auto Request::Header(const std::string& aName) const -> std::string
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? "" : found->second;
}

Connection::~Connection()
{
  close(fd_);
}

auto Connection::Write(const std::string& aBytes) const -> bool
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto size =
      send(fd_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

auto Connection::SetTimeout(std::chrono::milliseconds aTime) -> void
{
  const timeval time{ .tv_sec = aTime.count() / 1000,
                      .tv_usec = aTime.count() % 1000 * 1000 };
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

auto Connection::Fill() -> bool
{
  char bytes[16384];
  const auto size = recv(fd_, bytes, sizeof(bytes), 0);
  if (size > 0) {
    buffer_.append(bytes, static_cast<std::size_t>(size));
  }
  return size > 0;
}

auto Connection::ReadUntil(const std::string& aMark) -> std::string
{
  for (;;) {
    const auto at = buffer_.find(aMark);
    if (at != std::string::npos) {
      auto text = buffer_.substr(0, at + aMark.size());
      buffer_.erase(0, text.size());
      return text;
    }
    if (!Fill()) {
      return "";
    }
  }
}

auto Connection::ReadExactly(std::size_t aBytes) -> std::optional<std::string>
{
  while (buffer_.size() < aBytes) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  auto text = buffer_.substr(0, aBytes);
  buffer_.erase(0, aBytes);
  return text;
}

auto Connection::ReadRest() -> std::string
{
  Fill();
  return std::exchange(buffer_, {});
}

auto Connect(const std::string& aIp, int aPort) -> std::unique_ptr<Connection>
{
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto address = AddressOf(aIp, aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

auto ReadResponse(Connection& aConnection, bool aHasNoBody) -> Response
{
  Response response;
  response.head_ = aConnection.ReadUntil("\r\n\r\n");
  if (response.head_.empty()) {
    response.problem_ =
      "no complete head; left over: " + aConnection.ReadRest().substr(0, 200);
    return response;
  }
  if (!response.head_.starts_with("HTTP/1.1 ")) {
    response.problem_ = "the bytes begin no response";
    return response;
  }
  response.status_ = std::atoi(response.head_.c_str() + 9);
  if (aHasNoBody) {
    response.complete_ = true;
    return response;
  }
  const auto head = Lower(response.head_);
  const auto length = head.find("\r\ncontent-length: ");
  if (length != std::string::npos) {
    auto body = aConnection.ReadExactly(
      static_cast<std::size_t>(std::atol(head.c_str() + length + 18)));
    response.complete_ = body.has_value();
    response.body_ = body.value_or("");
    return response;
  }
  if (head.find("\r\ntransfer-encoding: chunked") == std::string::npos) {
    response.problem_ = "neither a length nor chunks";
    return response;
  }
  for (;;) {
    const auto line = aConnection.ReadUntil("\r\n");
    if (line.empty()) {
      return response;
    }
    const auto size = std::strtoul(line.c_str(), nullptr, 16);
    const auto bytes = aConnection.ReadExactly(size + 2);
    if (!bytes) {
      return response;
    }
    if (size == 0) {
      response.complete_ = true;
      return response;
    }
    response.body_ += bytes->substr(0, size);
  }
}

auto Serve(const std::string& aIp, int aPort, Handler aHandle) -> void
{
  const auto listener = OpenListener(aIp, aPort);
  if (listener < 0) {
    std::fprintf(stderr, "cannot listen on %s:%d\n", aIp.c_str(), aPort);
    _exit(2);
  }
  std::thread([listener, aHandle] {
    for (;;) {
      const auto fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const auto on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, aHandle] {
        Connection connection(fd);
        for (;;) {
          const auto request = ReadRequest(connection);
          if (!request || !aHandle(connection, *request)) {
            return;
          }
        }
      }).detach();
    }
  }).detach();
}

auto Store::Start(const std::string& aIp, int aPort) -> void
{
  Serve(aIp, aPort, [this](Connection& aConnection, const Request& aRequest) {
    return Handle(aConnection, aRequest);
  });
}

auto Store::Put(const std::string& aTable, const std::string& aKey,
                std::optional<std::string> aValue) -> void
{
  const std::lock_guard lock(mutex_);
  rows_[{ aTable, aKey }] = { .value_ = std::move(aValue),
                              .version_ = ++version_ };
  changed_.notify_all();
}

auto Store::Rows(const std::string& aTable, std::uint64_t aAfter,
                 bool aRemoved) const -> std::string
{
  std::map<std::uint64_t, std::string> byVersion;
  std::string byKey;
  for (const auto& [key, row] : rows_) {
    if (key.first != aTable || row.version_ <= aAfter ||
        (!row.value_ && !aRemoved)) {
      continue;
    }
    auto text = R"({"table":")" + key.first + R"(","part":"","key":")" +
                key.second + R"(","ver":)" + std::to_string(row.version_) +
                (row.value_ ? R"(,"value":")" + Encode(*row.value_) + "\"}"
                            : R"(,"deleted":true})");
    byKey += (byKey.empty() ? "" : ",") + text;
    auto& same = byVersion[row.version_];
    same += (same.empty() ? "" : ",") + text;
  }
  if (!aRemoved) {
    return byKey;
  }
  std::string all;
  for (const auto& [version, text] : byVersion) {
    all += (all.empty() ? "" : ",") + text;
  }
  return all;
}

auto Store::Transact(const std::string& aBody, std::string& aReply) -> int
{
  // The hosts write or remove one row a call, without a condition.
  const auto removes = aBody.find("\"remove\":[{");
  const auto writes = aBody.find("\"writes\":[{");
  const auto at = std::min(removes, writes);
  if (at == std::string::npos) {
    aReply = "{}";
    return 400;
  }
  const auto table = TextField(aBody, "table", at);
  if (table == "op" || table == "servers") {
    aReply = "{}";
    return 403;
  }
  auto& row = rows_[{ table, TextField(aBody, "key", at) }];
  row.version_ = ++version_;
  row.value_.reset();
  if (writes != std::string::npos) {
    row.value_ = Decode(TextField(aBody, "value", at));
  }
  changed_.notify_all();
  return 200;
}

auto Store::Handle(Connection& aConnection, const Request& aRequest) -> bool
{
  std::unique_lock lock(mutex_);
  auto status = 200;
  std::string rows;
  std::string failure;
  const auto table = QueryValue(aRequest.target_, "table");
  if (aRequest.target_.starts_with("/rows-get")) {
    rows = Rows(table, 0, false);
  } else if (aRequest.target_.starts_with("/rows-feed")) {
    const auto after = std::stoull(QueryValue(aRequest.target_, "after"));
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(std::stoul(
                         "0" + QueryValue(aRequest.target_, "wait_ms")));
    while ((rows = Rows(table, after, true)).empty() &&
           changed_.wait_until(lock, until) != std::cv_status::timeout) {
    }
    rows = Rows(table, after, true);
  } else if (aRequest.target_.starts_with("/rows-tx")) {
    status = Transact(aRequest.body_, failure);
  } else {
    status = 404;
  }
  const auto body = R"({"rows":[)" + rows + R"(],"truncated":false,"ver":)" +
                    std::to_string(version_) + R"(,"now_ms":)" +
                    std::to_string(NowMs()) + "}";
  lock.unlock();
  SleepMs(4);
  return Reply(aConnection, status, body);
}

auto Engine::Entry(const std::string& aState) const -> std::string
{
  return R"({"service":")" + service_ + R"(","address":")" + ip_ + ":" +
         std::to_string(port_) + R"(","zone":")" + zone_ +
         R"(","version":"1","slots":)" + std::to_string(slots_) +
         R"(,"state":")" + aState +
         R"(","warmup_left_ms":0,"sequence":1,"born":1780000000000})";
}

Deployment::Deployment(EnginePlan aPlan)
  : plan_(std::move(aPlan))
{
  char folder[] = "/tmp/review-2-XXXXXX";
  folder_ = mkdtemp(folder);
  if (!PickAddresses()) {
    std::fprintf(stderr, "no free loopback addresses\n");
    _exit(2);
  }
  for (const auto* zone : { "hall-a", "hall-b", "hall-c" }) {
    const auto number = std::to_string(hosts_.size() + 1);
    hosts_.push_back({ .name_ = "edge-" + number,
                       .ip_ = prefix_ + std::to_string(100 + hosts_.size()),
                       .zone_ = zone });
  }
}

Deployment::~Deployment()
{
  for (const auto& host : hosts_) {
    if (host.pid_ != 0) {
      kill(host.pid_, SIGKILL);
      waitpid(host.pid_, nullptr, 0);
    }
  }
  for (const auto& engine : engines_) {
    if (engine.pid_ != 0) {
      kill(engine.pid_, SIGKILL);
      waitpid(engine.pid_, nullptr, 0);
    }
  }
  std::error_code ignored;
  for (const auto& host : hosts_) {
    unlink((folder_ + "/" + host.name_ + ".json").c_str());
    unlink((folder_ + "/" + host.name_ + ".log").c_str());
  }
  rmdir(folder_.c_str());
}

auto Deployment::PickAddresses() -> bool
{
  constexpr auto kTries = 50;
  for (auto attempt = 0; attempt < kTries; ++attempt) {
    const auto number = static_cast<unsigned>(getpid()) + 7919U * attempt;
    prefix_ = "127." + std::to_string(64 + number % 128) + "." +
              std::to_string(1 + number / 128 % 250) + ".";
    auto free = true;
    for (const auto port : { kCallers, kReady, kDirectory, 7740, 7741, 9464 }) {
      const auto fd = OpenListener(prefix_ + "100", port);
      free = free && fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    if (free) {
      return true;
    }
  }
  return false;
}

auto Deployment::AddEngines(const std::string& aService, int aCount, int aSlots)
  -> void
{
  for (auto i = 0; i < aCount; ++i) {
    const auto number = static_cast<int>(engines_.size());
    engines_.push_back({ .id_ = "i-" + aService + std::to_string(i + 1),
                         .service_ = aService,
                         .ip_ = prefix_ + std::to_string(10 + number),
                         .port_ = 8743,
                         .zone_ = hosts_[static_cast<std::size_t>(i) % 3].zone_,
                         .slots_ = aSlots });
  }
}

auto Deployment::AddForeignServer(const std::string& aName) -> void
{
  AddEngines(aName, 1, 6);
  engines_.back().listed_ = false;
}

auto Deployment::StartHost(Host& aHost) -> void
{
  // What the template deploy/settings.json holds on a machine of Tumen Craft.
  const auto file = folder_ + "/" + aHost.name_ + ".json";
  const auto ip = aHost.ip_;
  std::string seeds;
  for (const auto& host : hosts_) {
    seeds += (seeds.empty() ? "\"" : ",\"") + host.ip_ + ":8628\"";
  }
  std::ofstream(file)
    << R"({"host":")" << aHost.name_ << R"(","availability_zone":")"
    << aHost.zone_ << R"(","ip":")" << ip << R"(","callers":")" << ip << ":"
    << kCallers << R"(","readiness":")" << ip << ":" << kReady
    << R"(","directory":")" << ip << ":" << kDirectory << R"(","metrics":")"
    << ip << R"(:9464","peer_port":7740,"seeds":[)" << seeds << R"(],"store":")"
    << prefix_ << "1:" << kStore
    << R"(","grace_s":8,"repeat_ratio":0.2,"repeat_slack":58,)"
    << R"("repeat_window_s":10,"directory_keep_s":2,"news_within_ms":2000,)"
    << R"("cores":0.25,"link_mbps":1000.0,"memory_mb":260,)"
    << R"("file_descriptors":4100,"log_level":"info"})";
  const auto log = folder_ + "/" + aHost.name_ + ".log";
  const auto variable = "GOLDCRESTCROFT_NODE_FILE=" + file;
  std::vector<char*> variables;
  for (auto** each = environ; *each != nullptr; ++each) {
    variables.push_back(*each);
  }
  variables.push_back(const_cast<char*>(variable.c_str()));
  variables.push_back(nullptr);
  aHost.pid_ = fork();
  if (aHost.pid_ == 0) {
    // Only calls that are safe beside the threads of the parent.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execle("target/goldcrestcroft/goldcrestcroft", "goldcrestcroft", "entry",
           nullptr, variables.data());
    _exit(127);
  }
}

auto Deployment::ResidentBytes(const Host& aHost) const -> std::size_t
{
  std::ifstream in("/proc/" + std::to_string(aHost.pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoul(line.substr(6)) * 1024;
    }
  }
  return 0;
}

auto Deployment::KillAndRestart(Host& aHost) -> void
{
  kill(aHost.pid_, SIGKILL);
  waitpid(aHost.pid_, nullptr, 0);
  SleepMs(500);
  StartHost(aHost);
}

auto Deployment::AwaitReady(const Host& aHost) const -> bool
{
  constexpr auto kTries = 150;
  for (auto attempt = 0; attempt < kTries && !IsReady(aHost); ++attempt) {
    SleepMs(100);
  }
  return IsReady(aHost);
}

auto Deployment::Start(const std::string& aConfig) -> bool
{
  if (access("target/goldcrestcroft/goldcrestcroft", X_OK) != 0) {
    std::fprintf(stderr, "build with the line of deploy/system.toml first\n");
    return false;
  }
  // Processes are made before this one has threads.
  for (auto& engine : engines_) {
    engine.pid_ = fork();
    if (engine.pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      sigset_t signals;
      sigemptyset(&signals);
      sigaddset(&signals, SIGTERM);
      pthread_sigmask(SIG_BLOCK, &signals, nullptr);
      Serve(engine.ip_, engine.port_,
            [this, engine](Connection& aConnection, const Request& aRequest) {
              const auto expected =
                aRequest.Header("goldcrestcroft-expect-instance");
              if (engine.listed_ && !expected.empty() &&
                  expected != engine.id_) {
                return aConnection.Write(
                  "HTTP/1.1 421 -\r\nGoldcrestcroft-Not-Executed: 1\r\n"
                  "Goldcrestcroft-Request-Id: " +
                  aRequest.Header("goldcrestcroft-request-id") +
                  "\r\nContent-Length: 0\r\n\r\n");
              }
              return plan_(engine, aConnection, aRequest);
            });
      auto received = 0;
      sigwait(&signals, &received);
      // The process exits; the system closes its connections.
      gEngineWrites.lock();
      TheRecord().Line(engine.id_, "exits");
      _exit(0);
    }
  }
  for (auto& host : hosts_) {
    StartHost(host);
  }
  store_.Start(prefix_ + "1", kStore);
  SetConfig(aConfig);
  for (const auto& engine : engines_) {
    if (engine.listed_) {
      store_.Put("servers", engine.id_, engine.Entry("ready"));
    }
  }
  constexpr auto kTries = 200;
  for (auto attempt = 0; attempt < kTries; ++attempt) {
    auto ready = true;
    for (const auto& host : hosts_) {
      ready = ready && IsReady(host);
    }
    if (ready) {
      // The hosts meet one another.
      SleepMs(3000);
      return true;
    }
    SleepMs(100);
  }
  std::fprintf(stderr, "the hosts do not become ready; see %s\n",
               folder_.c_str());
  return false;
}

auto Deployment::SetConfig(const std::string& aConfig) -> void
{
  store_.Put("op", "config", aConfig);
}

auto Deployment::IsReady(const Host& aHost) const -> bool
{
  const auto connection = Connect(aHost.ip_, kReady);
  if (!connection) {
    return false;
  }
  connection->SetTimeout(std::chrono::milliseconds(1000));
  connection->Write("GET /readyz HTTP/1.1\r\nHost: " + aHost.ip_ + "\r\n\r\n");
  return ReadResponse(*connection, false).status_ == 200;
}

auto SleepMs(int aMilliseconds) -> void
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

auto WithTrouble() -> bool
{
  const auto* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

auto WriteLocked(Connection& aConnection, const std::string& aBytes) -> bool
{
  const std::lock_guard lock(gEngineWrites);
  return aConnection.Write(aBytes);
}

auto CallerHead(const std::string& aMethod, const std::string& aTarget,
                const std::string& aId, int aDeadlineMs) -> std::string
{
  return aMethod + " " + aTarget +
         " HTTP/1.1\r\nHost: pule25.example\r\nX-Api-Key: 9dnn2ctnfzs989anu6ws"
         "\r\nGoldcrestcroft-Request-Id: " +
         aId +
         "\r\nGoldcrestcroft-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\n";
}

auto Answer(const Engine& aEngine, const Request& aRequest,
            const std::string& aBody) -> std::string
{
  const auto id = aRequest.Header("goldcrestcroft-request-id");
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
         "Goldcrestcroft-Request-Id: " +
         id + "\r\nGoldcrestcroft-Server-Seal: seal." + aEngine.id_ + "." + id +
         "\r\nGoldcrestcroft-Server-Load: 1,0," +
         std::to_string(aEngine.slots_) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         (aRequest.method_ == "HEAD" ? "" : aBody);
}

auto MakeConfig(int aVersion, const std::string& aRoutes,
                const std::string& aServices) -> std::string
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"route_table":[)" +
         aRoutes + R"(],"services":[)" + aServices +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"]}]})";
}

} // namespace play
