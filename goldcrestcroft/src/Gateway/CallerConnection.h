#pragma once

#include "../../Routing.h"
#include "CallerEnd.h"
#include "Deadline.h"
#include "OwnAnswer.h"

namespace goldcrestcroft {

class Traffic;
class RequestRun;

using CallerRequest = http::request<http::string_body>;

/** \brief One caller's connection: reads requests one after the other and
 * writes their answers. Traffic thread only. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(Tcp::socket aSocket, Traffic& aTraffic);

  auto Run() -> Task<void>;
  /** \brief The host is stopping: closes if no request is under way, or is
   * about to come. */
  auto CloseWhenIdle() -> void;
  /** \brief Whether no request is under way and none has begun to come. */
  [[nodiscard]] auto IsIdle() -> bool;
  /** \brief Since when no request is under way, as far as is known without
   * asking the socket; none while one is. */
  [[nodiscard]] auto IdleSince() const -> std::optional<TimePoint>
  {
    return idleSince_;
  }
  /** \brief Closes the connection, and breaks off whatever is under way. Only
   * the first reason counts; aDetail says more for the log. */
  auto End(CallerEnd aWhy, const std::string& aDetail = "") -> void;

  auto SendWhole(http::response<http::string_body> aAnswer) -> Task<bool>;
  auto SendHeadOnly(http::response<http::empty_body> aAnswer) -> Task<bool>;
  /** \brief Begins an answer in chunks. */
  auto SendStreamHead(http::response<http::empty_body> aHead) -> Task<bool>;
  auto SendChunk(std::string aBytes) -> Task<bool>;
  auto SendLastChunk() -> Task<bool>;

private:
  /** What a connection's time is for. */
  static constexpr std::string_view kIdlePhase = "idle";
  static constexpr std::string_view kHeaderPhase = "header";
  static constexpr std::string_view kBodyPhase = "body";

  enum class Intake
  {
    Whole,
    /** Nothing to answer: closed, or idle for too long. */
    Ended,
    /** Answered with an error; the connection closes. */
    Rejected
  };

  /** \brief Serves one request after the other until the connection ends. */
  auto ServeAll() -> Task<void>;
  auto ReadRequest(CallerRequest& aRequest) -> Task<Intake>;
  auto Reject(OwnAnswer aAnswer) -> Task<Intake>;
  auto WatchForClose(std::shared_ptr<RequestRun> aRun) -> void;
  /** \brief Serves the request; whether the connection may go on. */
  auto Serve(std::shared_ptr<RequestRun> aRun) -> Task<bool>;
  /** \brief Answers a request whose serving failed in a way that nothing here
   * is made for. */
  auto AnswerFailure(std::string aProblem) -> Task<void>;
  /** \brief aPhase says in the log what the time was for; aSpent of it has
   * passed. */
  auto CloseAfter(Duration aTime, std::string_view aPhase, Duration aSpent = {})
    -> void;
  auto OnTimeOver(Duration aTime, Duration aLate, std::string_view aPhase)
    -> void;
  /** \brief What the caller may go by: the most that any limits in force since
   * its last answer allow. */
  [[nodiscard]] auto Limits() const -> ClientLimits;
  /** \brief Takes note of how the writing of an answer's end went. */
  auto NoteSent(const boost::system::error_code& aError, bool aIsEnd) -> bool;
  [[nodiscard]] auto HasUnread() -> bool;
  /** \brief Reads away what still comes, so that the close does not reset the
   * connection before the caller has read the answer. */
  auto Linger() -> Task<void>;

  Tcp::socket socket_;
  Deadline deadline_;
  beast::flat_buffer buffer_;
  Traffic& traffic_;
  /** When the last answer ended. */
  TimePoint answeredAt_;
  std::optional<TimePoint> idleSince_;
  /** Id of the request under way, for the log. */
  std::string serving_;
  /** Whether its answer said that the connection closes. */
  bool saidClose_ = false;
  /** Whether bytes of its answer may have gone out. */
  bool answering_ = false;
  /** Whether the answer to it has gone out to its end. */
  bool answered_ = false;
  std::optional<CallerEnd> end_;
  /** More on the end of the connection, for the log. */
  std::string whyEnded_;
  std::uint64_t watch_ = 0;
};

} // namespace goldcrestcroft
