#pragma once

#include "../Http/HttpClient.h"
#include "LoadReport.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief A request template of a load run. */
struct LoadRequest
{
  std::string name_;
  std::string pipeline_;
  std::string workspace_;
  std::string input_;
  unsigned maxTokens_ = 16;
  unsigned deadlineMilliseconds_ = 8000;
  /** Whether each request carries its own idempotency key. */
  bool keyed_ = false;
};

/** \brief Reads the request files of a folder in the order of their names.
 * Fails with NotFound or InvalidArgument. */
auto ReadLoadRequests(const std::string& aFolder)
  -> Result<std::vector<LoadRequest>>;

/** \brief Sends requests to the advertised entry hosts, as a caller does, and
 * checks that each response is complete and belongs to its request. */
class LoadRun
{
public:
  struct Options
  {
    /** Address of any entry host. */
    std::string host_;
    std::vector<LoadRequest> requests_;
    /** Requests in flight at once; used if rate_ is 0. */
    unsigned concurrency_ = 1;
    /** Requests started per second, independent of responses; 0 starts a
     * request whenever another ends. */
    double rate_ = 0.0;
    std::size_t count_ = 1;
    /** Require the digest that the stand-in engine puts into its output. */
    bool verify_ = false;
    bool print_ = false;
    std::uint64_t seed_ = 1;
  };

  explicit LoadRun(Options aOptions);

  /** \brief Sends all requests and waits for them. Returns false when no host
   * answers. */
  auto Run() -> bool;
  [[nodiscard]] auto Report() const -> const LoadReport& { return report_; }

private:
  auto RefreshHosts() -> bool;
  auto StartDue(TimePoint aNow) -> void;
  auto SendOne() -> void;
  auto OnResponse(const LoadRequest& aRequest, const std::string& aInput,
                  TimePoint aSentAt, const HttpResponse& aResponse) -> void;
  auto SampleUsage(bool aEnd) -> void;

  struct ResourceUsage
  {
    double cpuSeconds_ = 0.0;
    double residentBytes_ = 0.0;
  };
  auto ReadUsage(const std::string& aAddress) -> ResourceUsage;

  Options options_;
  SteadyClock clock_;
  RandomEngine random_;
  HttpClient http_;
  LoadReport report_;
  std::vector<std::string> addresses_;
  std::vector<ResourceUsage> usageBefore_;
  TimePoint refreshHostsAt_{};
  TimePoint startedAt_{};
  std::size_t sent_ = 0;
  std::size_t inFlight_ = 0;
};

} // namespace goldcrestcroft
