// Stand-ins for the review's cases: the platform's store, engines, a proxy in
// front of an entry host, and the client of each case. Plain blocking sockets;
// one thread a connection. See the claim of each case.
//
//   standin ports                   prints the first of 100 free ports
//   standin settings BASE DIR       writes the settings of three entry hosts
//   standin CASE BASE RECORD        plays a case; 0 held, 1 broken, 2 not run
//
// The environment variable TROUBLE=0 plays a case without its disruption.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::string;

namespace {

constexpr auto kIp = "127.0.0.1";
constexpr int kHosts = 3;
const auto kStart = Clock::now();

// Record -------------------------------------------------------------------

std::mutex recordMutex;
std::ofstream record;

string Printable(const string& aBytes, std::size_t aMax = 400)
{
  string text;
  for (const char c : aBytes.substr(0, aMax)) {
    text += c == '\r'            ? "\\r"
            : c == '\n'          ? "\\n"
            : c < ' ' || c > '~' ? "?"
                                 : string(1, c);
  }
  return text + (aBytes.size() > aMax ? "..." : "");
}

void Record(const string& aLine)
{
  const std::lock_guard lock(recordMutex);
  const std::chrono::duration<double> at = Clock::now() - kStart;
  char stamp[32];
  std::snprintf(stamp, sizeof(stamp), "%8.3f  ", at.count());
  record << stamp << aLine << std::endl;
}

void Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// Sockets ------------------------------------------------------------------

sockaddr_in AddressOf(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, kIp, &address.sin_addr);
  return address;
}

int ListenOn(int aPort, bool aReuse = true)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  if (aReuse) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const auto address = AddressOf(aPort);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ||
      listen(fd, 1024)) {
    close(fd);
    return -1;
  }
  return fd;
}

int ConnectTo(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto address = AddressOf(aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address))) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int aFd, const string& aBytes)
{
  for (std::size_t sent = 0; sent < aBytes.size();) {
    const auto n =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void ResetAndClose(int aFd)
{
  const linger hard{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(aFd);
}

void ServeOn(int aPort, std::function<void(int)> aServe)
{
  const int listener = ListenOn(aPort);
  if (listener < 0) {
    std::cerr << "port " << aPort << " is taken\n";
    std::exit(2);
  }
  std::thread([listener, aServe] {
    for (;;) {
      const int fd = accept(listener, nullptr, nullptr);
      if (fd >= 0) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([fd, aServe] { aServe(fd); }).detach();
      }
    }
  }).detach();
}

// HTTP ---------------------------------------------------------------------

string Lower(string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), ::tolower);
  return aText;
}

struct Message
{
  string first_;
  std::map<string, string> fields_; // names in lower case
  string body_;
  string Field(const string& aName) const
  {
    const auto found = fields_.find(Lower(aName));
    return found == fields_.end() ? "" : found->second;
  }
  int Status() const
  {
    return first_.starts_with("HTTP/1.1 ") ? std::atoi(first_.c_str() + 9) : 0;
  }
};

/** A connection with what was received and not used yet. */
class Wire
{
public:
  explicit Wire(int aFd)
    : fd_(aFd)
  {
  }
  /** Waits for more bytes; false at the end, an error or the time-out. */
  bool Fill(int aTimeoutMs = 60'000)
  {
    pollfd waiting{ fd_, POLLIN, 0 };
    if (poll(&waiting, 1, aTimeoutMs) <= 0) {
      timedOut_ = true;
      return false;
    }
    char bytes[16384];
    const auto n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  /** Reads the head of a message. */
  std::optional<Message> ReadHead(int aTimeoutMs = 60'000)
  {
    auto end = buffer_.find("\r\n\r\n");
    while (end == string::npos) {
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
      end = buffer_.find("\r\n\r\n");
    }
    Message message;
    auto head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    message.first_ = head.substr(0, head.find("\r\n"));
    head.erase(0, message.first_.size() + 2);
    while (!head.empty()) {
      const auto line = head.substr(0, head.find("\r\n"));
      head.erase(0, line.size() + 2);
      const auto colon = line.find(':');
      auto value = colon == string::npos ? "" : line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields_[Lower(line.substr(0, colon))] = value;
    }
    return message;
  }
  bool Take(std::size_t aSize, string& aInto, int aTimeoutMs = 60'000)
  {
    while (buffer_.size() < aSize) {
      if (!Fill(aTimeoutMs)) {
        return false;
      }
    }
    aInto += buffer_.substr(0, aSize);
    buffer_.erase(0, aSize);
    return true;
  }
  bool TakeLine(string& aLine, int aTimeoutMs = 60'000)
  {
    auto end = buffer_.find("\r\n");
    while (end == string::npos) {
      if (!Fill(aTimeoutMs)) {
        return false;
      }
      end = buffer_.find("\r\n");
    }
    aLine = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  /** Reads the body as its head frames it; false if it is cut short. */
  bool ReadBody(Message& aMessage, int aTimeoutMs = 60'000)
  {
    if (Lower(aMessage.Field("Transfer-Encoding")) == "chunked") {
      for (;;) {
        string line;
        if (!TakeLine(line, aTimeoutMs)) {
          return false;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        string end;
        if (!Take(size, aMessage.body_, aTimeoutMs) ||
            !TakeLine(end, aTimeoutMs)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
    }
    const auto length = aMessage.Field("Content-Length");
    return length.empty() || Take(std::strtoul(length.c_str(), nullptr, 10),
                                  aMessage.body_, aTimeoutMs);
  }

  int fd_;
  string buffer_;
  bool timedOut_ = false;
};

string Answer(int aStatus, const string& aFields, const string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

string Chunk(const string& aBytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

// Store --------------------------------------------------------------------

string Base64(const string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k])
                                     : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text +=
        i + k > aBytes.size() ? '=' : kDigits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

string Decoded(const string& aText)
{
  string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtoul(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

/** The platform's store: rows, reads in pages, changes, transactions. */
class Store
{
public:
  void Put(const string& aTable, const string& aKey, const string& aValue)
  {
    const std::lock_guard lock(mutex_);
    Set(aTable, aKey, Base64(aValue), false);
  }
  void Drop(const string& aTable, const string& aKey)
  {
    const std::lock_guard lock(mutex_);
    Set(aTable, aKey, "", true);
  }
  void Serve(int aFd)
  {
    Wire wire(aFd);
    for (;;) {
      auto request = wire.ReadHead();
      if (!request) {
        break;
      }
      // A request line has exactly three parts.
      if (std::count(request->first_.begin(), request->first_.end(), ' ') !=
          2) {
        Record("store: not HTTP, answered 400: " + Printable(request->first_));
        SendAll(aFd, Answer(400, "Connection: close\r\n", ""));
        break;
      }
      if (!wire.ReadBody(*request) || !SendAll(aFd, Handle(*request))) {
        break;
      }
    }
    close(aFd);
  }
  std::atomic<std::uint64_t> historyFrom_ = 0;
  std::uint64_t Version()
  {
    const std::lock_guard lock(mutex_);
    return version_;
  }

private:
  struct Row
  {
    string value_;
    std::uint64_t version_ = 0;
    bool removed_ = false;
  };

  void Set(const string& aTable, const string& aKey, const string& aValue,
           bool aRemoved)
  {
    tables_[aTable][aKey] = { aValue, ++version_, aRemoved };
    changed_.notify_all();
  }
  static json Item(const string& aTable, const string& aKey, const Row& aRow)
  {
    json item{ { "table", aTable },
               { "part", "" },
               { "key", aKey },
               { "ver", aRow.version_ } };
    if (aRow.removed_) {
      item["deleted"] = true;
    } else {
      item["value"] = aRow.value_;
    }
    return item;
  }
  string Reply(const json& aBody) const
  {
    auto body = aBody;
    body["ver"] = body.value("ver", version_);
    body["now_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                       Clock::now() - kStart)
                       .count();
    return Answer(200, "Content-Type: application/json\r\nStore-Era: 1\r\n",
                  body.dump());
  }
  string Handle(const Message& aRequest)
  {
    auto target = aRequest.first_.substr(aRequest.first_.find(' ') + 1);
    target = target.substr(0, target.find(' '));
    std::map<string, string> query;
    if (const auto at = target.find('?'); at != string::npos) {
      auto rest = target.substr(at + 1);
      while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.erase(0, pair.size() + 1);
        query[pair.substr(0, pair.find('='))] =
          Decoded(pair.substr(std::min(pair.find('=') + 1, pair.size())));
      }
    }
    std::unique_lock lock(mutex_);
    const auto table = query["table"];
    if (target.starts_with("/rows-tx")) {
      const auto call = json::parse(aRequest.body_);
      for (const auto& row : call.at("writes")) {
        Set(row.at("table"), row.at("key"), row.at("value"), false);
      }
      for (const auto& row : call.at("remove")) {
        Set(row.at("table"), row.at("key"), "", true);
      }
      return Reply(json::object());
    }
    if (target.starts_with("/rows-get")) {
      auto rows = json::array();
      auto truncated = false;
      const std::size_t limit =
        query["limit"].empty() ? 500 : std::stoul(query["limit"]);
      std::size_t bytes = 0;
      for (const auto& [key, row] : tables_[table]) {
        if (row.removed_ || key < query["from"]) {
          continue;
        }
        bytes += row.value_.size();
        if (rows.size() >= std::min<std::size_t>(limit, 500) ||
            bytes > 1'000'000) {
          truncated = true;
          break;
        }
        rows.push_back(Item(table, key, row));
      }
      return Reply({ { "rows", rows }, { "truncated", truncated } });
    }
    if (target.starts_with("/rows-feed")) {
      const auto after = std::stoull(query["after"]);
      const auto until =
        Clock::now() + std::chrono::milliseconds(std::stoi(query["wait_ms"]));
      for (;;) {
        if (after < historyFrom_) {
          return Answer(410, "Store-Era: 1\r\n", "");
        }
        std::vector<std::pair<std::uint64_t, json>> changed;
        for (const auto& [key, row] : tables_[table]) {
          if (row.version_ > after) {
            changed.emplace_back(row.version_, Item(table, key, row));
          }
        }
        if (!changed.empty() ||
            changed_.wait_until(lock, until) == std::cv_status::timeout) {
          std::sort(
            changed.begin(), changed.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
          auto rows = json::array();
          for (const auto& [version, row] : changed) {
            rows.push_back(row);
          }
          return Reply({ { "rows", rows } });
        }
      }
    }
    return Answer(404, "Store-Era: 1\r\n", "");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<string, std::map<string, Row>> tables_;
  std::uint64_t version_ = 0;
};

// Engines ------------------------------------------------------------------

constexpr int kEvents = 6;

/** An engine for plain requests and streams. It records what it runs. */
class Engine
{
public:
  Engine(string aId, string aService, int aPort)
    : id_(std::move(aId))
    , service_(std::move(aService))
    , port_(aPort)
  {
    Open();
  }
  /** Begins an incarnation: accepts connections. */
  void Open()
  {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    const int listener = ListenOn(port_);
    if (listener < 0) {
      std::cerr << "port " << port_ << " is taken\n";
      std::_Exit(2);
    }
    const std::lock_guard lock(mutex_);
    listener_ = listener;
    std::thread([this, listener] {
      for (;;) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd < 0) {
          return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard open(mutex_);
        open_.push_back(fd);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  /** Ends as a process does that crashes; comes back after some seconds. */
  void Crash(int aDownMs = 3000)
  {
    {
      const std::lock_guard lock(mutex_);
      if (listener_ < 0) {
        return;
      }
      ++crashes_;
      crashedAt_.push_back(Clock::now());
      shutdown(listener_, SHUT_RDWR);
      close(listener_);
      listener_ = -1;
      for (const int fd : open_) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    Record("engine " + id_ + " crashes");
    std::thread([this, aDownMs] {
      Sleep(aDownMs);
      Open();
      Record("engine " + id_ + " is back");
      if (onBack_) {
        onBack_();
      }
    }).detach();
  }
  std::function<void()> onBack_;
  std::atomic<int> crashes_ = 0;
  std::vector<Clock::time_point> crashedAt_;
  string Entry() const
  {
    return json{
      { "service", service_ },
      { "address", string(kIp) + ":" + std::to_string(port_) },
      { "zone", "z1" },
      { "version", 1 },
      { "slots", 8 },
      { "state", "ready" },
      { "warmup_left_ms", 0 },
      { "born", born_.load() },
      { "sequence", 1 }
    }.dump();
  }
  const string& Id() const { return id_; }

private:
  void Serve(int aFd)
  {
    Wire wire(aFd);
    while (auto request = wire.ReadHead()) {
      if (!wire.ReadBody(*request) || !Respond(aFd, *request)) {
        break;
      }
    }
    {
      const std::lock_guard lock(mutex_);
      std::erase(open_, aFd);
    }
    close(aFd);
  }
  bool Respond(int aFd, const Message& aRequest)
  {
    const auto id = aRequest.Field("Goldcrestcroft-Request-Id");
    const auto expected = aRequest.Field("Goldcrestcroft-Expect-Instance");
    const auto echo = "Goldcrestcroft-Request-Id: " + id +
                      "\r\nGoldcrestcroft-Instance-Id: " + id_ + "\r\n";
    if (!expected.empty() && expected != id_) {
      return SendAll(aFd, Answer(421, echo, ""));
    }
    Record("engine " + id_ + " runs: " + aRequest.first_ + "  id=" + id +
           " tenant=" + aRequest.Field("Goldcrestcroft-Tenant") +
           " last-event=" + aRequest.Field("Last-Event-Id") + " body=\"" +
           Printable(aRequest.body_, 60) + "\"");
    {
      const std::lock_guard lock(runsMutex_);
      runs_.push_back(id);
      ranAt_.push_back(Clock::now());
    }
    if (aRequest.body_ == "crash") {
      Sleep(100);
      Crash();
      return false;
    }
    if (aRequest.body_ == "long") {
      Sleep(600);
    } else if (aRequest.first_.find("/report") != string::npos) {
      Sleep(400);
    }
    const auto head = echo + "Goldcrestcroft-Server-Seal: " + id_ + "." + id +
                      "\r\nGoldcrestcroft-Server-Load: 1,0,8\r\n";
    if (aRequest.first_.find(" /stream/") != string::npos) {
      return Stream(aFd, aRequest, head);
    }
    Sleep(10);
    const auto body = "answer to " + id;
    auto answer = Answer(200, head, body);
    if (aRequest.first_.starts_with("HEAD ")) {
      answer.resize(answer.size() - body.size());
    }
    return SendAll(aFd, answer);
  }
  bool Stream(int aFd, const Message& aRequest, const string& aHead)
  {
    const auto last = std::atoi(aRequest.Field("Last-Event-Id").c_str());
    if (last >= kEvents) {
      // Nothing is left to send: a success with an empty body, or the status
      // that ends a stream of events.
      const auto plain = aRequest.first_.find("empty=204") == string::npos;
      return SendAll(
        aFd, plain
               ? Answer(200, aHead + "Content-Type: text/event-stream\r\n", "")
               : "HTTP/1.1 204 No Content\r\n" + aHead + "\r\n");
    }
    auto open = SendAll(aFd, "HTTP/1.1 200 OK\r\n" + aHead +
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
    for (auto i = last + 1; open && i <= kEvents; ++i) {
      Sleep(30);
      open = SendAll(aFd, Chunk("id: " + std::to_string(i) + "\ndata: " +
                                aRequest.Field("Goldcrestcroft-Request-Id") +
                                "\n\n"));
    }
    Sleep(200); // The last event is out before the end of the stream.
    return open && SendAll(aFd, "0\r\n\r\n");
  }

  string id_;
  string service_;
  int port_;
  std::atomic<std::int64_t> born_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  std::vector<int> open_;

public:
  static std::vector<Clock::time_point> ranAt_;
  static std::mutex runsMutex_;
  static std::vector<string> runs_;
  static long RunsOf(const string& aId)
  {
    const std::lock_guard lock(runsMutex_);
    return std::count(runs_.begin(), runs_.end(), aId);
  }
};

std::mutex Engine::runsMutex_;
std::vector<string> Engine::runs_;
std::vector<Clock::time_point> Engine::ranAt_;

// Deployment ---------------------------------------------------------------

int StorePort(int aBase)
{
  return aBase;
}
int HostPort(int aBase, int aHost, int aUse)
{
  return aBase + 10 + aHost * 10 + aUse;
}

void WriteSettings(int aBase, const string& aFolder)
{
  for (int host = 0; host < kHosts; ++host) {
    const auto address = [&](int aUse) {
      return string(kIp) + ":" + std::to_string(HostPort(aBase, host, aUse));
    };
    const json settings{ { "host", "entry-" + std::to_string(host + 1) },
                         { "availability_zone", "z1" },
                         { "ip", kIp },
                         { "callers", address(0) },
                         { "readiness", address(1) },
                         { "directory", address(2) },
                         { "metrics", address(3) },
                         { "peer_port", HostPort(aBase, host, 5) },
                         { "seeds", json::array() },
                         { "store", string(kIp) + ":" +
                                      std::to_string(StorePort(aBase)) },
                         { "grace_s", 8 },
                         { "repeat_ratio", 0.2 },
                         { "repeat_slack", 58 },
                         { "repeat_window_s", 10 },
                         { "directory_keep_s", 2 },
                         { "news_within_ms", 2000 },
                         { "cores", 0.25 },
                         { "link_mbps", 1000 },
                         { "log_level", "info" } };
    std::ofstream(aFolder + "/host-" + std::to_string(host + 1) + ".json")
      << settings.dump(2) << "\n";
  }
}

json Route(const string& aPrefix, const string& aKind, const string& aService,
           int aAttempts)
{
  return { { "name", "r" + aPrefix },
           { "host", "try.example" },
           { "prefix", aPrefix },
           { "route_type", aKind },
           { "timeout_ms", 5000 },
           { "target_latency_ms", 500 },
           { "priority", 0 },
           { "service", aService },
           { "max_attempts", aAttempts } };
}

string Config(int aVersion, bool aWithExtraRoute)
{
  auto stream = Route("/stream/", "streaming", "model", 2);
  stream["stream_resume"] = true;
  stream["session_affinity"] = true;
  stream["gap_target_ms"] = 250;
  auto routes = json::array({ Route("/safe/", "safe", "desk", 2),
                              Route("/unsafe/", "unsafe", "desk", 1), stream });
  if (aWithExtraRoute) {
    routes.push_back(Route("/extra/", "safe", "desk", 2));
  }
  return json{
    { "version", aVersion },
    { "route_table", routes },
    { "services",
      { { { "name", "desk" }, { "max_connections", 52 } },
        { { "name", "model" },
          { "max_connections", 280 },
          { "engine", { { "slots", 8 }, { "kv_capacity", 600'000 } } } } } },
    { "limits",
      { { "max_header_bytes", 16'384 },
        { "max_body_bytes", 200'000 },
        { "header_timeout_ms", 10'000 },
        { "idle_timeout_ms", 15'000 } } },
    { "tenants",
      { { { "name", "w1" }, { "api_keys", { "key1" } } },
        { { "name", "w2" }, { "api_keys", { "key2" } } } } }
  }.dump();
}

bool IsReady(int aBase, int aHost)
{
  const int fd = ConnectTo(HostPort(aBase, aHost, 1));
  if (fd < 0) {
    return false;
  }
  Wire wire(fd);
  SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto answer = wire.ReadHead(1000);
  close(fd);
  return answer && answer->Status() == 200;
}

bool AwaitReady(int aBase)
{
  for (int i = 0; i < 300; ++i) {
    auto ready = 0;
    for (int host = 0; host < kHosts; ++host) {
      ready += IsReady(aBase, host) ? 1 : 0;
    }
    if (ready == kHosts) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

/** A request as a client sends it. */
string RequestText(const string& aMethod, const string& aTarget,
                   const string& aId, const string& aFields = "",
                   const string& aBody = "", const string& aKey = "key1")
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: try.example\r\n" +
         "X-Api-Key: " + aKey + "\r\nGoldcrestcroft-Request-Id: " + aId +
         "\r\nGoldcrestcroft-Deadline-Ms: 5000\r\n" + aFields + "\r\n" + aBody;
}

struct World
{
  int base_ = 0;
  bool trouble_ = true;
  int enginesPerService_ = 3;
  Store store_;
  std::vector<std::unique_ptr<Engine>> engines_;

  void Start()
  {
    ServeOn(StorePort(base_), [this](int aFd) { store_.Serve(aFd); });
    store_.Put("op", "config", Config(1, true));
    auto port = base_ + 1;
    for (const auto* service : { "desk", "model" }) {
      for (int i = 0; i < enginesPerService_; ++i) {
        const auto id = "i-" + string(service) + std::to_string(i);
        engines_.push_back(std::make_unique<Engine>(id, service, port));
        auto& engine = *engines_.back();
        const auto enter = [this, &engine, id] {
          store_.Put("servers", id, engine.Entry());
        };
        engine.onBack_ = enter;
        enter();
        port += port == base_ + 8 ? 62 : 1;
      }
    }
  }
};

// Cases --------------------------------------------------------------------

/** Client's connection to a host through a proxy that can reset it after some
 * bytes have passed to the client. */
class Proxy
{
public:
  Proxy(int aPort, int aTarget, bool aResets, string aAfter)
    : after_(std::move(aAfter))
  {
    ServeOn(aPort, [this, aTarget, aResets](int aFd) {
      // Half of the connections: reset_conns has x 0.55 at most.
      const auto resets = aResets && connections_++ % 4 < 2;
      const int to = ConnectTo(aTarget);
      string seen;
      char bytes[16384];
      for (;;) {
        pollfd fds[2] = { { aFd, POLLIN, 0 }, { to, POLLIN, 0 } };
        poll(fds, 2, 60'000);
        const int from = fds[1].revents != 0 ? to : aFd;
        const auto n = recv(from, bytes, sizeof(bytes), 0);
        if (n <= 0) {
          break;
        }
        SendAll(from == to ? aFd : to,
                string(bytes, static_cast<std::size_t>(n)));
        seen.append(bytes, from == to ? static_cast<std::size_t>(n) : 0);
        if (resets && seen.find(after_) != string::npos) {
          Sleep(50); // The bytes arrive before the reset.
          Record("the proxy resets the connection after the last event");
          ResetAndClose(to);
          ResetAndClose(aFd);
          return;
        }
      }
      close(to);
      close(aFd);
    });
  }

private:
  string after_;
  std::atomic<int> connections_ = 0;
};

/** A client resumes a stream whose connection broke after the last event. */
int PlayResume(World& aWorld)
{
  const auto lastEvent = "id: " + std::to_string(kEvents) + "\n";
  const auto proxyPort = aWorld.base_ + 90;
  const Proxy proxy(proxyPort, HostPort(aWorld.base_, 0, 0), aWorld.trouble_,
                    lastEvent);
  auto broken = 0;
  for (int i = 0; i < 8; ++i) {
    const auto target =
      "/stream/brief?empty=" + string(i % 2 == 0 ? "200" : "204");
    const auto id = "stream-" + std::to_string(i);
    const int fd = ConnectTo(proxyPort);
    Wire wire(fd);
    Record("client sends " + id + " GET " + target);
    SendAll(fd, RequestText("GET", target, id));
    auto answer = wire.ReadHead(6000);
    if (!answer || answer->Status() != 200) {
      Record("client: no stream, the case did not run");
      return 2;
    }
    const auto whole = wire.ReadBody(*answer, 6000);
    close(fd);
    Record("client: " + id + (whole ? " complete" : " broken off") +
           ", last event seen: " +
           (answer->body_.find(lastEvent) != string::npos ? "yes" : "no"));
    if (whole) {
      continue;
    }
    // The client has all events it knows of and asks for the rest.
    const auto resumed = id + "-resumed";
    const int again = ConnectTo(HostPort(aWorld.base_, 1, 0));
    Wire rest(again);
    Record("client sends " + resumed + " GET " + target + ", Last-Event-Id " +
           std::to_string(kEvents));
    SendAll(again,
            RequestText("GET", target, resumed,
                        "Last-Event-Id: " + std::to_string(kEvents) + "\r\n"));
    // Beyond the deadline of 5 s, unless an answer comes.
    while (!rest.buffer_.starts_with("HTTP/1.1 ") && rest.Fill(5500)) {
    }
    const auto bytes = rest.buffer_;
    const auto isAnswer = bytes.starts_with("HTTP/1.1 ");
    Record(rest.timedOut_ ? "client: nothing more in 5.5 s, the connection is "
                            "still open"
                          : "client: an answer, or the end of the connection");
    Record("client: " + resumed +
           " runs at engines: " + std::to_string(Engine::RunsOf(resumed)) +
           "; bytes received: \"" + Printable(bytes) + "\"" +
           (isAnswer ? "" : "  <-- no answer in the protocol"));
    broken += isAnswer ? 0 : 1;
    close(again);
  }
  Record("resumed streams that got bytes that are no answer: " +
         std::to_string(broken));
  return broken > 0 ? 1 : 0;
}

/** A request whose framing the host cannot know holds the text of another. */
int PlaySmuggle(World& aWorld)
{
  auto broken = 0;
  const std::vector<string> codings = { "identity", "chunked, identity",
                                        "gzip" };
  for (std::size_t i = 0; i < codings.size(); ++i) {
    const auto outer = "outer-" + std::to_string(i);
    const auto inner = "inner-" + std::to_string(i);
    // What a client saves here is the text of a request that another tenant
    // once sent.
    const auto text = RequestText("POST", "/unsafe/pay?amount=500", inner,
                                  "Content-Length: 0\r\n", "", "key2");
    const auto framing =
      aWorld.trouble_
        ? "Transfer-Encoding: " + codings[i] + "\r\n"
        : "Content-Length: " + std::to_string(text.size()) + "\r\n";
    const int fd = ConnectTo(HostPort(aWorld.base_, 0, 0));
    Wire wire(fd);
    Record("client sends " + outer + " POST /unsafe/ticket with " +
           framing.substr(0, framing.size() - 2) + " and a body of " +
           std::to_string(text.size()) + " bytes");
    SendAll(fd, RequestText("POST", "/unsafe/ticket", outer, framing, text));
    while (wire.Fill(1000)) {
    }
    Record("client: bytes received: \"" + Printable(wire.buffer_, 700) + "\"");
    close(fd);
    const auto ran = Engine::RunsOf(inner);
    Record("runs of " + outer + ": " + std::to_string(Engine::RunsOf(outer)) +
           ", of " + inner + ", which is in its body: " + std::to_string(ran) +
           (ran > 0 ? "  <-- smuggled" : ""));
    broken += ran > 0 ? 1 : 0;
  }
  Record("requests that ran out of a body: " + std::to_string(broken));
  return broken > 0 ? 1 : 0;
}

/** Requests served of some that are sent over a few seconds. */
int ServedOf(World& aWorld, const string& aName, int aRequests)
{
  auto served = 0;
  std::map<string, int> ends;
  for (int i = 0; i < aRequests; ++i) {
    const int fd = ConnectTo(HostPort(aWorld.base_, i % kHosts, 0));
    Wire wire(fd);
    const auto sent = SendAll(
      fd, RequestText("GET", "/safe/status", aName + std::to_string(i)));
    auto answer = sent ? wire.ReadHead(6000) : std::nullopt;
    const auto text =
      answer && wire.ReadBody(*answer, 6000)
        ? std::to_string(answer->Status()) +
            (answer->Status() == 200 ? "" : " " + Printable(answer->body_, 80))
        : "no answer";
    ++ends[text];
    served += text == "200" ? 1 : 0;
    close(fd);
    Sleep(100);
  }
  for (const auto& [text, count] : ends) {
    Record("client: " + aName + "*: " + std::to_string(count) + " times " +
           text);
  }
  return served;
}

/** All machines are killed and start again while entries of another writer
 * fill more than one page of the table. The script starts them again. */
int PlayPages(World& aWorld)
{
  const auto folder = string(std::getenv("CASE_FOLDER"));
  constexpr int kRequests = 40;
  const auto before = ServedOf(aWorld, "before-", kRequests);
  if (aWorld.trouble_) {
    constexpr int kEntries = 20;
    const string value(60'000, '\xfe'); // row_bytes is 65,536.
    Record("another writer writes 20 entries of 60,000 bytes that can't be "
           "read, \"old entry 00\" to \"old entry 19\"");
    for (int i = 0; i < kEntries; ++i) {
      char key[32];
      std::snprintf(key, sizeof(key), "old entry %02d", i);
      aWorld.store_.Put("servers", key, value);
    }
  }
  Sleep(3000);
  const auto during = ServedOf(aWorld, "during-", kRequests);
  Record("all entry hosts are killed and start again");
  std::ofstream(folder + "/restart") << "now\n";
  for (int i = 0; i < 100 && access((folder + "/restarted").c_str(), F_OK);
       ++i) {
    Sleep(100);
  }
  Record("they have started");
  Sleep(13'000); // recover_s is 12.
  const auto after = ServedOf(aWorld, "after-", 4 * kRequests);
  Record("served of " + std::to_string(kRequests) +
         " before: " + std::to_string(before) +
         ", with the entries and before the kill: " + std::to_string(during) +
         "; of " + std::to_string(4 * kRequests) +
         " later than recover_s after the machines were back: " +
         std::to_string(after));
  if (4 * before < kRequests) {
    return 2;
  }
  return after < kRequests ? 1 : 0;
}

/** A request that crashes the engines that run it comes at all machines at
 * once, again and again. */
int PlayWaves(World& aWorld)
{
  constexpr int kWaves = 3;
  constexpr int kCopiesPerHost = 2;
  constexpr auto kContact = std::chrono::milliseconds(3000);
  const string body = aWorld.trouble_ ? "crash" : "plain";
  std::atomic<int> lost = 0;
  std::atomic<int> sound = 0;
  std::map<string, Clock::time_point> copies;
  for (int wave = 0; wave < kWaves; ++wave) {
    Record("wave " + std::to_string(wave + 1));
    std::vector<std::thread> clients;
    const auto send = [&](const string& aId, const string& aBody, int aHost) {
      const auto target =
        string(aBody == "long" ? "/unsafe/order" : "/unsafe/report");
      clients.emplace_back([&, aId, aBody, aHost, target] {
        const int fd = ConnectTo(HostPort(aWorld.base_, aHost, 0));
        Wire wire(fd);
        SendAll(fd, RequestText("POST", target, aId,
                                "Content-Length: " +
                                  std::to_string(aBody.size()) + "\r\n",
                                aBody));
        auto answer = wire.ReadHead(6000);
        const auto status = answer ? answer->Status() : 0;
        Record("client: " + aId + " gets " + std::to_string(status));
        if (aBody == "long") {
          ++sound;
          lost += status == 200 ? 0 : 1;
        }
        close(fd);
      });
    };
    for (int i = 0; i < 2 * kHosts; ++i) {
      send("sound-" + std::to_string(wave + 1) + "-" + std::to_string(i),
           "long", i % kHosts);
    }
    Sleep(200);
    for (int i = 0; i < kCopiesPerHost * kHosts; ++i) {
      const auto id =
        "copy-" + std::to_string(wave + 1) + "-" + std::to_string(i);
      copies[id] = Clock::now();
      send(id, body, i % kHosts);
    }
    for (auto& client : clients) {
      client.join();
    }
    Sleep(8000);
  }
  std::vector<Clock::time_point> crashes;
  for (const auto& engine : aWorld.engines_) {
    crashes.insert(crashes.end(), engine->crashedAt_.begin(),
                   engine->crashedAt_.end());
  }
  std::sort(crashes.begin(), crashes.end());
  auto late = 0;
  if (crashes.size() >= 3) {
    const std::lock_guard lock(Engine::runsMutex_);
    for (std::size_t i = 0; i < Engine::runs_.size(); ++i) {
      const auto copy = copies.find(Engine::runs_[i]);
      late += copy != copies.end() && copy->second > crashes[2] + kContact &&
                  Engine::ranAt_[i] > crashes[2] + kContact
                ? 1
                : 0;
    }
  }
  Record("crashes of engines: " + std::to_string(crashes.size()) +
         "; copies that reached engines later than contact_ms after the "
         "third: " +
         std::to_string(late) + " (three are allowed)");
  Record("sound requests that may run once at most and were lost: " +
         std::to_string(lost) + " of " + std::to_string(sound));
  return late > 3 ? 1 : 0;
}

/** All machines are killed and start again; meanwhile the engines of a service
 * crash some times, while many clients ask the same. */
int PlayPopular(World& aWorld)
{
  const auto folder = string(std::getenv("CASE_FOLDER"));
  std::atomic<bool> ends = false;
  std::atomic<int> phase = 0;
  std::mutex mutex;
  std::map<string, std::map<string, int>> answers;
  std::map<int, std::pair<int, int>> served;
  std::vector<std::thread> clients;
  for (int client = 0; client < 12; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; !ends; ++i) {
        const auto now = phase.load();
        const auto id =
          "status-" + std::to_string(client) + "-" + std::to_string(i);
        const int fd = ConnectTo(HostPort(aWorld.base_, client % kHosts, 0));
        Wire wire(fd);
        const auto sent =
          fd >= 0 && SendAll(fd, RequestText("GET", "/safe/report", id));
        auto answer = sent ? wire.ReadHead(6000) : std::nullopt;
        const auto whole = answer && wire.ReadBody(*answer, 6000);
        const auto text = !whole ? "no answer"
                                 : std::to_string(answer->Status()) +
                                     (answer->Status() == 200
                                        ? ""
                                        : " " + Printable(answer->body_.substr(
                                                  0, answer->body_.find(','))));
        if (fd >= 0) {
          close(fd);
        }
        {
          const std::lock_guard lock(mutex);
          ++answers[std::to_string(now)][text];
          ++served[now].second;
          served[now].first += text == "200" ? 1 : 0;
        }
        Sleep(300);
      }
    });
  }
  Sleep(10'000);
  phase = 1;
  Record("all entry hosts are killed and start again");
  std::ofstream(folder + "/restart") << "now\n";
  for (int i = 0; i < 100 && access((folder + "/restarted").c_str(), F_OK);
       ++i) {
    Sleep(100);
  }
  const auto back = Clock::now();
  Record("they have started");
  for (int i = 0; i < 5; ++i) {
    if (aWorld.trouble_) {
      for (const auto& engine : aWorld.engines_) {
        if (engine->Id().starts_with("i-desk")) {
          engine->Crash(1500);
        }
      }
    }
    Sleep(1800);
  }
  Record("the engines stay up from now on");
  std::this_thread::sleep_until(back + std::chrono::seconds(13));
  phase = 2; // recover_s is 12.
  Sleep(12'000);
  ends = true;
  for (auto& client : clients) {
    client.join();
  }
  const std::vector<string> names = { "before the final fault",
                                      "in the 13 s after it",
                                      "later than recover_s after it" };
  for (int i = 0; i < 3; ++i) {
    for (const auto& [text, count] : answers[std::to_string(i)]) {
      Record("sent " + names[i] + ": " + std::to_string(count) + " times " +
             text);
    }
  }
  Record("served before the final fault: " + std::to_string(served[0].first) +
         " of " + std::to_string(served[0].second) +
         "; of those sent later than recover_s after it: " +
         std::to_string(served[2].first) + " of " +
         std::to_string(served[2].second));
  if (4 * served[0].first < served[0].second) {
    return 2;
  }
  return 4 * served[2].first < served[2].second ? 1 : 0;
}

int FreePorts()
{
  constexpr int kCount = 100;
  for (int base = 20'000 + getpid() % 90 * 100; base < 32'000; base += 100) {
    std::vector<int> open;
    for (int port = base; port < base + kCount; ++port) {
      const int fd = ListenOn(port, false);
      if (fd < 0) {
        break;
      }
      open.push_back(fd);
    }
    for (const int fd : open) {
      close(fd);
    }
    if (static_cast<int>(open.size()) == kCount) {
      return base;
    }
  }
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  const string verb = aCount > 1 ? aArguments[1] : "";
  if (verb == "ports") {
    std::cout << FreePorts() << "\n";
    return 0;
  }
  if (aCount < 4) {
    return 2;
  }
  const auto base = std::atoi(aArguments[2]);
  if (verb == "settings") {
    WriteSettings(base, aArguments[3]);
    return 0;
  }
  const std::map<string, std::function<int(World&)>> cases{
    { "resume", PlayResume },
    { "smuggle", PlaySmuggle },
    { "pages", PlayPages },
    { "waves", PlayWaves },
    { "popular", PlayPopular }
  };
  record.open(aArguments[3]);
  World world;
  world.base_ = base;
  const auto* trouble = std::getenv("TROUBLE");
  world.trouble_ = trouble == nullptr || string(trouble) != "0";
  const auto played = cases.find(verb);
  if (played == cases.end()) {
    return 2;
  }
  world.enginesPerService_ = verb == "waves" ? 6 : 3;
  world.Start();
  if (!AwaitReady(base)) {
    Record("the entry hosts were not ready in time");
    std::_Exit(2);
  }
  Record(string("entry hosts are ready; the disruption is ") +
         (world.trouble_ ? "on" : "off"));
  const auto end = played->second(world);
  Record(end == 0   ? "the rule held"
         : end == 1 ? "the rule was broken"
                    : "the case could not run");
  std::_Exit(end);
}
