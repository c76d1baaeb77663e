#pragma once

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief What the headers of requests and answers are called on the wire. */
struct HeaderNames
{
  std::string requestId_;
  /** Milliseconds that the caller will wait, or that are left. */
  std::string timeLeft_;
  /** The engine's signature over its answer. */
  std::string signature_;
  /** States that the engine did not run the request. */
  std::string notRun_;
  std::string expectEngine_;
  std::string engineId_;
  std::string engineLoad_;
  /** In all answers of an engine that is about to leave; any of them says
   * so. */
  std::vector<std::string> engineLeaving_;
  /** Requests a second that the engine takes from all hosts together. */
  std::vector<std::string> engineLimit_;
  std::string workspace_;
  std::string apiKey_;
  std::string pieceCounts_;
  std::string pieceKey_;
  std::string stageInputs_;
  std::string promptParts_;
  std::string tokenCounts_;
  std::string lastEventId_;
  std::string urgency_;
  /** Headers that only this system may set; callers' are dropped. */
  std::vector<std::string> systemOnly_;
  /** Headers that a caller's Connection header cannot strip. */
  std::vector<std::string> endToEnd_;
};

} // namespace goldcrestcroft
