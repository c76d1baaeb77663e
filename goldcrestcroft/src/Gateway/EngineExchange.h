#pragma once

#include "EnginePool.h"
#include "PlatformCodec.h"
#include "ResponseHead.h"
#include "ResponseLimits.h"

namespace goldcrestcroft {

/** \brief Status line and header fields of an engine's response. */
struct EngineResponseHead
{
  int status_ = 0;
  http::fields fields_;
  /** The engine states that it did not run the request. */
  bool notRun_ = false;
  bool signed_ = false;
  bool keepAlive_ = false;
  /** The engine states that it is draining. */
  bool leaving_ = false;
  /** Text of each header that advertises the engine's rate limit. */
  std::vector<std::string> limits_;
  /** Backoff from Retry-After; zero if absent. */
  Duration retryAfter_{};
  /** Timeout of the Keep-Alive header; zero if absent. */
  Duration keepFor_{};
  std::optional<std::uint64_t> length_;
  ResponseFraming framing_ = ResponseFraming::Unknown;
};

/** \brief Outcome of reading a response. */
enum class ReadOutcome
{
  Done,
  /** EngineConnection::PauseAfter expired; reading may be resumed. */
  Paused,
  /** The connection broke or timed out before the end. */
  Broken,
  /** The bytes are no valid response or exceed a limit. */
  Malformed
};

/** \brief Reads the response to one request on a leased connection. */
class EngineExchange
{
public:
  /** \brief aMemory accounts for bodies that are buffered completely. */
  EngineExchange(EngineLease aLease, const HeaderNames& aNames,
                 MemoryAccount& aMemory);

  /** \brief Reads the head of the response that echoes this request id, and
   * discards late responses to other requests. An empty id matches any
   * response. aHasNoBody is set for HEAD requests. */
  auto ReadHead(std::string aRequestId, bool aHasNoBody) -> Task<ReadOutcome>;
  [[nodiscard]] auto Head() const -> const EngineResponseHead& { return head_; }
  /** \brief Whether ReadHead has ended with Done. */
  [[nodiscard]] auto HasHead() const -> bool { return hasHead_; }
  /** \brief Bytes of the body read so far. */
  [[nodiscard]] auto BodyBytes() const -> std::size_t { return bodyBytes_; }
  /** \brief Records that events with data have arrived. */
  auto OnEvents(std::size_t aCount, TimePoint aNow) -> void
  {
    events_ += aCount;
    firstEventAt_ = firstEventAt_.value_or(aNow);
  }
  /** \brief How the response has ended so far. aUnfinishedBytes follow its last
   * complete event. */
  [[nodiscard]] auto End(std::size_t aUnfinishedBytes) const -> ResponseEnd
  {
    return { .framing_ = head_.framing_,
             .connection_ = connectionEnd_,
             .bodyBytes_ = bodyBytes_,
             .events_ = events_,
             .unfinishedBytes_ = aUnfinishedBytes,
             .brokenOff_ = brokenOff_,
             .defect_ = defect_ };
  }
  /** \brief Records why the response is not complete. */
  auto MarkBrokenOff(BrokenOff aReason) -> void { brokenOff_ = aReason; }
  [[nodiscard]] auto IsBrokenOff() const -> bool
  {
    return brokenOff_ != BrokenOff::No;
  }
  /** \brief When the first event with data arrived; none before it, and for
   * responses that are no streams. */
  [[nodiscard]] auto FirstEventAt() const -> std::optional<TimePoint>
  {
    return firstEventAt_;
  }
  /** \brief Whether events have arrived for long enough to prove that the
   * prompt does not crash engines. */
  [[nodiscard]] auto ProvesPrompt(TimePoint aNow) const -> bool
  {
    return firstEventAt_ && aNow - *firstEventAt_ >= kProofTime;
  }
  /** \brief Buffer for a body that is read completely. */
  auto Body() -> std::string& { return body_; }
  /** \brief Appends the next bytes of the body to aInto; Done without bytes at
   * the end of the body. */
  auto ReadSome(std::string& aInto) -> Task<ReadOutcome>;
  /** \brief Reads the whole body of at most aMax bytes. */
  auto ReadAll(std::string& aInto, std::size_t aMax) -> Task<ReadOutcome>;
  /** \brief Reads the whole body of an error response, which is short. */
  auto ReadFailure(std::string& aInto) -> Task<ReadOutcome>;
  /** \brief The limit that this response has exceeded. */
  [[nodiscard]] auto ExceededLimit() const -> ResponseLimit
  {
    return exceeded_;
  }
  /** \brief Why the bytes form no valid response. */
  [[nodiscard]] auto Defect() const -> ResponseDefect { return defect_; }
  /** \brief Records that the response exceeds this limit. */
  auto Pass(ResponseLimit aBound) -> ReadOutcome
  {
    exceeded_ = aBound;
    return ReadOutcome::Malformed;
  }
  /** \brief Whether the body has been read to its end. */
  [[nodiscard]] auto IsComplete() const -> bool
  {
    return parser_ && parser_->is_done();
  }
  /** \brief Whether the connection may serve another request. */
  [[nodiscard]] auto IsReusable() const -> bool
  {
    return IsComplete() && head_.keepAlive_ && lease_.connection_->WriteDone();
  }
  [[nodiscard]] auto Lease() const -> const EngineLease& { return lease_; }

private:
  auto TakeHead() -> void;
  /** \brief Records why the bytes form no valid response. */
  auto Reject(ResponseDefect aDefect) -> ReadOutcome
  {
    defect_ = aDefect;
    return ReadOutcome::Malformed;
  }
  /** \brief Reads the head of the next response, to whichever request. */
  auto ReadNextHead(bool aHasNoBody) -> Task<ReadOutcome>;
  /** \brief Waits for bytes on the connection; operation_aborted if reading is
   * paused. */
  auto Receive() -> Task<boost::system::error_code>;
  /** \brief Feeds the buffered bytes to the parser; returns how many it
   * consumed. */
  auto Parse(boost::system::error_code& aError) -> std::size_t;
  auto SkipBody() -> Task<ReadOutcome>;
  /** \brief Maps a read error to an outcome. */
  [[nodiscard]] auto OutcomeOf(const boost::system::error_code& aError) const
    -> ReadOutcome;
  [[nodiscard]] auto CheckFraming(std::size_t aBytes) -> ReadOutcome;

  EngineLease lease_;
  const HeaderNames& names_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  EngineResponseHead head_;
  bool hasHead_ = false;
  std::size_t events_ = 0;
  std::optional<TimePoint> firstEventAt_;
  ConnectionEnd connectionEnd_ = ConnectionEnd::Open;
  BrokenOff brokenOff_ = BrokenOff::No;
  ResponseDefect defect_ = ResponseDefect::None;
  std::string body_;
  ResponseLimits bounds_;
  ResponseLimit exceeded_ = ResponseLimit::None;
  MemoryAccount::Share bufferShare_;
  SuspendAwareClock clock_;
  std::size_t headBytes_ = 0;
  std::size_t bodyBytes_ = 0;
  std::size_t framingBytes_ = 0;
  /** When the chunk header that is still incomplete began. */
  std::optional<TimePoint> framingBegunAt_;
};

} // namespace goldcrestcroft
