#pragma once

#include "AnswerBounds.h"
#include "EnginePool.h"
#include "PlatformCodec.h"

namespace goldcrestcroft {

/** \brief The head of an engine's answer. */
struct EngineAnswerHead
{
  int status_ = 0;
  http::fields fields_;
  /** The engine states that it did not run the request. */
  bool notRun_ = false;
  bool signed_ = false;
  bool keepAlive_ = false;
  /** The engine says that it is about to leave. */
  bool leaving_ = false;
  /** What it names as its limit, once for each header that does. */
  std::vector<std::string> limits_;
  /** How long it wants no requests; zero where it does not say. */
  Duration retryAfter_{};
  /** Zero where the engine does not say. */
  Duration keepFor_{};
  std::optional<std::uint64_t> length_;
};

/** \brief How reading an answer ended. */
enum class ReadEnd
{
  Done,
  /** Nothing came in the time of EngineConnection::PauseAfter; reading may go
   * on. */
  Paused,
  /** The connection broke, or its time was over, before the end. */
  Broken,
  /** Bytes that are no answer, or too many. */
  Garbled
};

/** \brief One request and its answer on a leased connection. */
class EngineExchange
{
public:
  /** \brief aHeld counts the bodies that are read as a whole. */
  EngineExchange(EngineLease aLease, const HeaderNames& aNames,
                 HeldBytes& aHeld);

  /** \brief Reads the head of the answer with this id, past answers that came
   * late to others. aHasNoBody is for HEAD requests. */
  auto ReadHead(std::string aRequestId, bool aHasNoBody) -> Task<ReadEnd>;
  [[nodiscard]] auto Head() const -> const EngineAnswerHead& { return head_; }
  /** \brief Whether ReadHead has ended with Done. */
  [[nodiscard]] auto HasHead() const -> bool { return hasHead_; }
  /** \brief Bytes of the body that were read so far. */
  [[nodiscard]] auto BodyBytes() const -> std::size_t { return bodyBytes_; }
  /** \brief Where a body is gathered that is read as a whole. */
  auto Body() -> std::string& { return body_; }
  /** \brief Next bytes of the body, into aInto; Done with none at its end. */
  auto ReadSome(std::string& aInto) -> Task<ReadEnd>;
  /** \brief The whole body, of at most aMost bytes. */
  auto ReadAll(std::string& aInto, std::size_t aMost) -> Task<ReadEnd>;
  /** \brief The same for the body of a failure, which is short. */
  auto ReadFailure(std::string& aInto) -> Task<ReadEnd>;
  /** \brief The bound that this answer has passed. */
  [[nodiscard]] auto Passed() const -> AnswerBound { return passed_; }
  /** \brief Notes a bound that its reader found passed. */
  auto Pass(AnswerBound aBound) -> ReadEnd
  {
    passed_ = aBound;
    return ReadEnd::Garbled;
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
  /** \brief The head of the next answer, whosever it is. */
  auto ReadNextHead(bool aHasNoBody) -> Task<ReadEnd>;
  /** \brief Waits for bytes of the connection; operation_aborted if that was
   * paused. */
  auto Receive() -> Task<boost::system::error_code>;
  /** \brief Gives the bytes that wait to the parser; returns how many it
   * took. */
  auto Parse(boost::system::error_code& aError) -> std::size_t;
  auto SkipBody() -> Task<ReadEnd>;
  /** \brief How the reading ends after this error. */
  [[nodiscard]] auto EndOf(const boost::system::error_code& aError) const
    -> ReadEnd;
  [[nodiscard]] auto FramingEnd(std::size_t aBytes) -> ReadEnd;

  EngineLease lease_;
  const HeaderNames& names_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  EngineAnswerHead head_;
  bool hasHead_ = false;
  std::string body_;
  AnswerBounds bounds_;
  AnswerBound passed_ = AnswerBound::None;
  HeldBytes::Share held_;
  SuspendAwareClock clock_;
  std::size_t headBytes_ = 0;
  std::size_t bodyBytes_ = 0;
  std::size_t framingBytes_ = 0;
  /** When the chunk's head began that has not come to its end. */
  std::optional<TimePoint> framingAt_;
};

} // namespace goldcrestcroft
