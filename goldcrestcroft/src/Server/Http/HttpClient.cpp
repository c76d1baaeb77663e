#include "HttpClient.h"

#include "HttpExchange.h"

#include <curl/curl.h>

#include <unordered_map>

namespace goldcrestcroft {

namespace {

using internal::Exchange;

constexpr Duration kSilenceCheckPeriod = std::chrono::milliseconds{ 5 };

} // namespace

class HttpClient::Impl
{
public:
  explicit Impl(Options aOptions)
    : options_(aOptions)
    , multi_(curl_multi_init())
  {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options_.maxPooled_);
  }

  ~Impl()
  {
    while (!exchanges_.empty()) {
      Cancel(exchanges_.begin()->first);
    }
    for (auto* easy : idleHandles_) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
  }

  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Send(HttpRequest aRequest, HttpHandlers aHandlers) -> ExchangeId
  {
    auto exchange = std::make_unique<Exchange>();
    exchange->id_ = ++lastId_;
    exchange->easy_ = TakeEasy();
    exchange->request_ = std::move(aRequest);
    exchange->handlers_ = std::move(aHandlers);
    exchange->lastActivityAt_ = SteadyClock{}.Now();
    exchange->withNewBytes_ = &withNewBytes_;
    Configure(*exchange);
    curl_multi_add_handle(multi_, exchange->easy_);
    const auto id = exchange->id_;
    exchanges_.emplace(id, std::move(exchange));
    return id;
  }

  auto Cancel(ExchangeId aExchange) -> void { Remove(aExchange, false); }

  auto Poll(Duration aTimeout, const std::vector<WatchedDescriptor>& aWatched)
    -> void
  {
    auto running = 0;
    curl_multi_perform(multi_, &running);
    if (Deliver()) {
      return;
    }
    std::vector<curl_waitfd> extra;
    extra.reserve(aWatched.size());
    for (const auto& watched : aWatched) {
      const auto events = (watched.forReading_ ? CURL_WAIT_POLLIN : 0) |
                          (watched.forWriting_ ? CURL_WAIT_POLLOUT : 0);
      extra.push_back({ .fd = watched.descriptor_,
                        .events = static_cast<short>(events),
                        .revents = 0 });
    }
    const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(aTimeout).count();
    curl_multi_poll(multi_, extra.data(), static_cast<unsigned>(extra.size()),
                    static_cast<int>(wait), nullptr);
    curl_multi_perform(multi_, &running);
    Deliver();
    EndSilent();
  }

  auto Wake() -> void { curl_multi_wakeup(multi_); }

  [[nodiscard]] auto UnderWay() const -> std::size_t
  {
    return exchanges_.size();
  }

private:
  auto TakeEasy() -> CURL*
  {
    if (idleHandles_.empty()) {
      return curl_easy_init();
    }
    auto* easy = idleHandles_.back();
    idleHandles_.pop_back();
    return easy;
  }

  auto Configure(Exchange& aExchange) -> void
  {
    auto* easy = aExchange.easy_;
    const auto& request = aExchange.request_;
    const auto milliseconds = [](Duration aDuration) {
      return static_cast<long>(
        std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
    };
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &aExchange);
    curl_easy_setopt(easy, CURLOPT_URL, request.url_.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(request.timeout_));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     milliseconds(request.connectTimeout_));
    curl_easy_setopt(
      easy, CURLOPT_MAXAGE_CONN,
      static_cast<long>(
        std::chrono::ceil<std::chrono::seconds>(options_.maxIdle_).count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.fresh_ ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, internal::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aExchange);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, internal::OnWrite);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aExchange);
    if (request.method_ == "GET") {
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body_.size()));
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, internal::OnRead);
      curl_easy_setopt(easy, CURLOPT_READDATA, &aExchange);
    }
    auto* headers = curl_slist_append(nullptr, "Expect:");
    headers = curl_slist_append(headers, "Content-Type: application/json");
    for (const auto& line : request.headers_) {
      headers = curl_slist_append(headers, line.c_str());
    }
    aExchange.headers_ = headers;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  }

  // Handles of failed exchanges are not reused: curl_easy_reset keeps a mark to
  // resend the body, with which the next request would fail before it is sent.
  auto Remove(ExchangeId aExchange, bool aCompleted)
    -> std::unique_ptr<Exchange>
  {
    const auto found = exchanges_.find(aExchange);
    if (found == exchanges_.end()) {
      return nullptr;
    }
    auto exchange = std::move(found->second);
    exchanges_.erase(found);
    curl_multi_remove_handle(multi_, exchange->easy_);
    if (aCompleted) {
      curl_easy_reset(exchange->easy_);
      idleHandles_.push_back(exchange->easy_);
    } else {
      curl_easy_cleanup(exchange->easy_);
    }
    curl_slist_free_all(exchange->headers_);
    return exchange;
  }

  auto End(ExchangeId aExchange, HttpOutcome aEnd, std::string aError) -> void
  {
    const auto exchange = Remove(aExchange, aEnd == HttpOutcome::Answered);
    if (!exchange) {
      return;
    }
    exchange->response_.end_ = aEnd;
    exchange->response_.error_ = std::move(aError);
    if (!exchange->handlers_.onBytes_) {
      exchange->response_.body_ = std::move(exchange->received_);
    }
    if (exchange->handlers_.onEnd_) {
      exchange->handlers_.onEnd_(exchange->response_);
    }
  }

  /** Calls onBytes_, then onEnd_; both may send and cancel. True if any ran. */
  auto Deliver() -> bool
  {
    const auto withBytes = std::exchange(withNewBytes_, {});
    for (const auto id : withBytes) {
      const auto found = exchanges_.find(id);
      if (found == exchanges_.end()) {
        continue;
      }
      const auto bytes = std::exchange(found->second->received_, {});
      const auto response = found->second->response_;
      const auto handler = found->second->handlers_.onBytes_;
      handler(response, bytes);
    }
    std::vector<std::pair<ExchangeId, CURLcode>> endedExchanges;
    auto remaining = 0;
    while (const auto* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg == CURLMSG_DONE) {
        Exchange* exchange = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
        endedExchanges.emplace_back(exchange->id_, message->data.result);
      }
    }
    for (const auto& [id, code] : endedExchanges) {
      EndWithCode(id, code);
    }
    return !withBytes.empty() || !endedExchanges.empty();
  }

  auto EndWithCode(ExchangeId aExchange, CURLcode aCode) -> void
  {
    const auto found = exchanges_.find(aExchange);
    if (found == exchanges_.end()) {
      return;
    }
    const auto isSent = found->second->IsSent();
    const auto error = internal::ErrorOf(*found->second, aCode);
    if (aCode == CURLE_OK) {
      End(aExchange, HttpOutcome::Answered, error);
    } else if (!isSent) {
      End(aExchange, HttpOutcome::NotSent, error);
    } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
      End(aExchange, HttpOutcome::Silent, error);
    } else {
      End(aExchange, HttpOutcome::Broken, error);
    }
  }

  auto EndSilent() -> void
  {
    const auto now = SteadyClock{}.Now();
    if (now < nextSilenceCheck_) {
      return;
    }
    nextSilenceCheck_ = now + kSilenceCheckPeriod;
    std::vector<ExchangeId> silent;
    for (const auto& [id, exchange] : exchanges_) {
      const auto limit = exchange->request_.silence_;
      if (limit.count() > 0 && now - exchange->lastActivityAt_ >= limit) {
        silent.push_back(id);
      }
    }
    for (const auto id : silent) {
      const auto bodyStarted = exchanges_.at(id)->bodyStarted_;
      End(id, bodyStarted ? HttpOutcome::Silent : HttpOutcome::NotSent,
          "silent");
    }
  }

  Options options_;
  CURLM* multi_;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::vector<CURL*> idleHandles_;
  std::vector<ExchangeId> withNewBytes_;
  TimePoint nextSilenceCheck_{};
  ExchangeId lastId_ = 0;
};

HttpClient::HttpClient(Options aOptions)
  : impl_(std::make_unique<Impl>(aOptions))
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::Send(HttpRequest aRequest, HttpHandlers aHandlers)
  -> ExchangeId
{
  return impl_->Send(std::move(aRequest), std::move(aHandlers));
}

auto HttpClient::Cancel(ExchangeId aExchange) -> void
{
  impl_->Cancel(aExchange);
}

auto HttpClient::Poll(Duration aTimeout,
                      const std::vector<WatchedDescriptor>& aWatched) -> void
{
  impl_->Poll(aTimeout, aWatched);
}

auto HttpClient::Wake() -> void
{
  impl_->Wake();
}

auto HttpClient::UnderWay() const -> std::size_t
{
  return impl_->UnderWay();
}

} // namespace goldcrestcroft
