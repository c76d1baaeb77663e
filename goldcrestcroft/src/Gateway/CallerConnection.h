#pragma once

#include "../../Resources.h"
#include "../../Routing.h"
#include "CallerCloseReason.h"
#include "Deadline.h"
#include "HeaderReader.h"
#include "LocalReply.h"

namespace goldcrestcroft {

class Traffic;
class RequestRun;

using CallerRequest = http::request<http::string_body>;

/** \brief One caller's connection: reads requests one after the other and
 * writes their responses. Traffic thread only. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(Tcp::socket aSocket, Traffic& aTraffic);

  auto Run() -> Task<void>;
  /** \brief For a stopping host: closes the connection unless a request is in
   * progress or may be about to arrive. */
  auto CloseWhenIdle() -> void;
  /** \brief Whether no request is in progress and no byte of one has arrived.
   */
  [[nodiscard]] auto IsIdle() -> bool;
  /** \brief Since when no request is in progress, as far as is known without
   * probing the socket; empty during a request. */
  [[nodiscard]] auto IdleSince() const -> std::optional<TimePoint>
  {
    return idleSince_;
  }
  /** \brief When the first byte of an incomplete request arrived; empty if none
   * is being read. */
  [[nodiscard]] auto ReadingSince() const -> std::optional<TimePoint>
  {
    return readingSince_;
  }
  /** \brief Address of the caller, as a number. */
  [[nodiscard]] auto Client() const -> std::uint64_t { return client_; }
  /** \brief Closes the connection and aborts whatever is in progress. Only the
   * first reason counts; aDetail is added to the log. */
  auto End(CallerCloseReason aReason, const std::string& aDetail = "") -> void;

  auto SendResponse(http::response<http::string_body> aResponse) -> Task<bool>;
  auto SendHead(http::response<http::empty_body> aResponse) -> Task<bool>;
  /** \brief Starts a response with chunked encoding. */
  auto SendStreamHead(http::response<http::empty_body> aHead) -> Task<bool>;
  auto SendChunk(std::string aBytes) -> Task<bool>;
  auto SendLastChunk() -> Task<bool>;

private:
  /** Phases that a timeout can apply to. */
  static constexpr std::string_view kIdlePhase = "idle";
  static constexpr std::string_view kHeaderPhase = "header";
  static constexpr std::string_view kBodyPhase = "body";

  enum class ReadOutcome
  {
    Complete,
    /** No request to answer: closed, or idle for too long. */
    NoRequest,
    /** Answered with an error; the connection closes afterwards. */
    Rejected
  };

  /** \brief Serves one request after the other until the connection ends. */
  auto ServeRequests() -> Task<void>;
  auto ReadRequest(CallerRequest& aRequest) -> Task<ReadOutcome>;
  auto Reject(LocalReply aReply) -> Task<ReadOutcome>;
  /** \brief Reads the request; the reply if it is to be refused. */
  auto ReadHeaderAndBody(RequestParser& aParser, LocalReply& aRefusal)
    -> Task<ReadOutcome>;
  auto ReadBody(RequestParser& aParser, std::size_t aHeaderBytes,
                LocalReply& aRefusal) -> Task<ReadOutcome>;
  /** \brief The outcome of a read that failed; sets the reply if the caller is
   * to get one. */
  auto OutcomeOf(const boost::system::error_code& aError,
                 LocalReply& aRefusal) const -> ReadOutcome;
  auto WatchForClose(std::shared_ptr<RequestRun> aRun) -> void;
  /** \brief Serves the request. Returns whether the connection may be reused.
   */
  auto Serve(std::shared_ptr<RequestRun> aRun) -> Task<bool>;
  /** \brief Reports an unexpected failure of a request: answers with 502, or
   * closes the connection if a response has started. */
  auto SendFailureResponse(std::string aProblem) -> Task<void>;
  /** \brief Closes the connection aTimeout after the start of the phase, of
   * which aElapsed has passed already. aPhase is written to the log. */
  auto CloseAfter(Duration aTimeout, std::string_view aPhase,
                  Duration aElapsed = {}) -> void;
  auto OnTimeout(Duration aTimeout, Duration aLate, std::string_view aPhase)
    -> void;
  /** \brief Limits that the caller may rely on: the maximum of all limits in
   * force since its last response. */
  [[nodiscard]] auto Limits() const -> ClientLimits;
  /** \brief Records the result of a write; aIsEnd marks the last one of a
   * response. Returns whether the write succeeded. */
  auto RecordWrite(const boost::system::error_code& aError, bool aIsEnd)
    -> bool;
  [[nodiscard]] auto HasUnread() -> bool;
  /** \brief Discards what still arrives, so that closing does not reset the
   * connection before the caller has read the response. */
  auto Linger() -> Task<void>;

  Tcp::socket socket_;
  Deadline deadline_;
  beast::flat_buffer buffer_;
  Traffic& traffic_;
  /** When the last response ended. */
  TimePoint lastResponseAt_;
  std::optional<TimePoint> idleSince_;
  /** Id of the request in progress, for the log. */
  std::string requestId_;
  /** Whether its response announced that the connection closes. */
  bool announcedClose_ = false;
  /** Whether bytes of its response may have been sent. */
  bool responseStarted_ = false;
  /** Whether its response was sent completely. */
  bool responseSent_ = false;
  std::optional<CallerCloseReason> closeReason_;
  /** Details on why the connection was closed, for the log. */
  std::string closeDetail_;
  std::uint64_t watchId_ = 0;
  std::uint64_t client_ = 0;
  std::optional<TimePoint> readingSince_;
  /** Bytes of the request in progress. */
  std::optional<MemoryAccount::Share> held_;
};

} // namespace goldcrestcroft
