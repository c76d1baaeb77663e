#pragma once

#include "Net.h"
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
  /** \brief The host is stopping: closes when no request is under way. */
  auto CloseWhenIdle() -> void;
  /** \brief Whether no request is under way and none has begun to come. */
  [[nodiscard]] auto IsIdle() -> bool;
  /** \brief Since when no request is under way, as far as is known without
   * asking the socket; none while one is. */
  [[nodiscard]] auto IdleSince() const -> std::optional<TimePoint>
  {
    return idleSince_;
  }
  /** \brief Breaks off whatever is under way. */
  auto Abort() -> void;

  auto SendWhole(http::response<http::string_body> aAnswer) -> Task<bool>;
  auto SendHeadOnly(http::response<http::empty_body> aAnswer) -> Task<bool>;
  /** \brief Begins an answer in chunks. */
  auto SendStreamHead(http::response<http::empty_body> aHead) -> Task<bool>;
  auto SendChunk(std::string aBytes) -> Task<bool>;
  auto SendLastChunk() -> Task<bool>;

private:
  enum class Intake
  {
    Whole,
    /** Nothing to answer: closed, or idle for too long. */
    Ended,
    /** Answered with an error; the connection closes. */
    Rejected
  };

  auto ReadRequest(CallerRequest& aRequest) -> Task<Intake>;
  auto Reject(OwnAnswer aAnswer) -> Task<Intake>;
  auto WatchForClose(std::shared_ptr<RequestRun> aRun) -> void;
  /** \brief aPhase says in the log what the time was for. */
  auto CloseAfter(Duration aTime, std::string_view aPhase) -> void;
  auto OnTimeOver(TimePoint aDue, std::string_view aPhase) -> void;
  auto Linger() -> Task<void>;

  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  Traffic& traffic_;
  std::optional<TimePoint> idleSince_;
  bool stopping_ = false;
  bool timedOut_ = false;
  /** Id of the request under way, for the log. */
  std::string serving_;
  std::uint64_t watch_ = 0;
};

} // namespace goldcrestcroft
