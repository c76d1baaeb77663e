#pragma once

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Names of the request and response headers on the wire. */
struct HeaderNames
{
  std::string requestId_;
  /** Time in milliseconds that the caller will wait, or what remains of it. */
  std::string timeLeft_;
  /** The engine's signature over its response. */
  std::string signature_;
  /** States that the engine did not execute the request. */
  std::string notRun_;
  std::string expectEngine_;
  std::string engineId_;
  std::string engineLoad_;
  /** Sent in all responses of a draining engine; any one of these headers is
   * sufficient. */
  std::vector<std::string> engineLeaving_;
  /** Rate limit of the engine: requests per second from all hosts together. */
  std::vector<std::string> engineLimit_;
  std::string workspace_;
  std::string apiKey_;
  std::string pieceCounts_;
  std::string pieceKey_;
  std::string stageInputs_;
  std::string promptParts_;
  std::string tokenCounts_;
  std::string lastEventId_;
  /** The attempt that brought the first event of the stream that the caller
   * takes up again. */
  std::string resumes_;
  std::string urgency_;
  /** Headers that only this system may set; those of callers are dropped. */
  std::vector<std::string> systemOnly_;
  /** Headers that are passed on even if a caller's Connection header lists
   * them. */
  std::vector<std::string> endToEnd_;
};

} // namespace goldcrestcroft
