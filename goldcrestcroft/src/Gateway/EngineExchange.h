#pragma once

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
  /** The connection broke, or its time was over, before the end. */
  Broken,
  /** Bytes that are no answer, or too many. */
  Garbled
};

/** \brief One request and its answer on a leased connection. */
class EngineExchange
{
public:
  EngineExchange(EngineLease aLease, const HeaderNames& aNames)
    : lease_(std::move(aLease))
    , names_(aNames)
  {
  }

  /** \brief Reads the head of the answer with this id, past answers that came
   * late to others. aHasNoBody is for HEAD requests. */
  auto ReadHead(std::string aRequestId, bool aHasNoBody) -> Task<ReadEnd>;
  [[nodiscard]] auto Head() const -> const EngineAnswerHead& { return head_; }
  /** \brief Next bytes of the body, into aInto; Done with none at its end. */
  auto ReadSome(std::string& aInto) -> Task<ReadEnd>;
  /** \brief The whole body, of at most aMost bytes. */
  auto ReadAll(std::string& aInto, std::size_t aMost) -> Task<ReadEnd>;
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

  EngineLease lease_;
  const HeaderNames& names_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  EngineAnswerHead head_;
};

} // namespace goldcrestcroft
