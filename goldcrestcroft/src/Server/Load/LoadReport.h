#pragma once

#include "../../../Core.h"

#include <map>
#include <memory>
#include <string>

namespace goldcrestcroft {

/** \brief Collects and prints the statistics of a load run. */
class LoadReport
{
public:
  LoadReport();
  ~LoadReport();

  /** \brief Counts one response. aOverhead is the request time beyond the
   * service time of the backend servers, over aHops hops. */
  auto AddResponse(const std::string& aOutcome, Duration aRequestTime,
                   Duration aOverhead, std::size_t aHops) -> void;
  /** \brief Counts a response that is incomplete or belongs to another
   * request. */
  auto AddInvalidResponse(const std::string& aReason) -> void
  {
    ++invalid_[aReason];
  }

  [[nodiscard]] auto Responses() const -> std::size_t { return responses_; }
  [[nodiscard]] auto Completed() const -> std::size_t;
  /** \brief Whether every request completed with a valid response. */
  [[nodiscard]] auto AllSucceeded() const -> bool;
  auto Print(Duration aElapsed) const -> void;

private:
  class Quantiles;

  std::size_t responses_ = 0;
  std::map<std::string, std::size_t> outcomes_;
  std::map<std::string, std::size_t> invalid_;
  std::unique_ptr<Quantiles> requestTime_;
  std::unique_ptr<Quantiles> overhead_;
  std::unique_ptr<Quantiles> overheadPerHop_;
};

} // namespace goldcrestcroft
