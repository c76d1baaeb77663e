#pragma once

#include "../Http/HttpClient.h"
#include "LoadReport.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief One kind of request that a load run sends. */
struct LoadRequest
{
  std::string name_;
  std::string pipeline_;
  std::string workspace_;
  std::string input_;
  unsigned maxTokens_ = 16;
  unsigned deadlineMilliseconds_ = 8000;
  /** A key makes each sending a request of its own. */
  bool keyed_ = false;
};

/** \brief Reads the request files of a folder, by name. Fails with
 * InvalidArgument. */
auto ReadLoadRequests(const std::string& aFolder)
  -> Result<std::vector<LoadRequest>>;

/** \brief Sends requests to the hosts that the system names, as a caller does,
 * and checks that each answer is whole and its request's own. */
class LoadRun
{
public:
  struct Options
  {
    /** Any entry host. */
    std::string host_;
    std::vector<LoadRequest> requests_;
    /** Requests under way at once; a new one starts as one ends. */
    unsigned concurrency_ = 1;
    /** Requests started a second, whatever ends; 0 for as many as end. */
    double rate_ = 0.0;
    std::size_t count_ = 1;
    /** Insist that answers carry the digest of the stand-in engine. */
    bool verify_ = false;
    bool print_ = false;
    std::uint64_t seed_ = 1;
  };

  explicit LoadRun(Options aOptions);

  /** \brief Runs to the end. False when no host answers. */
  auto Run() -> bool;
  [[nodiscard]] auto Report() const -> const LoadReport& { return report_; }

private:
  auto AskHosts() -> bool;
  auto StartDue(TimePoint aNow) -> void;
  auto SendOne() -> void;
  auto OnReply(const LoadRequest& aRequest, const std::string& aInput,
               TimePoint aSentAt, const HttpReply& aReply) -> void;
  auto SampleHosts(bool aEnd) -> void;

  struct HostUse
  {
    double cpuSeconds_ = 0.0;
    double residentBytes_ = 0.0;
  };
  auto ReadUse(const std::string& aAddress) -> HostUse;

  Options options_;
  SteadyClock clock_;
  RandomEngine random_;
  HttpClient http_;
  LoadReport report_;
  std::vector<std::string> addresses_;
  std::vector<HostUse> usesBefore_;
  TimePoint askAgainAt_{};
  TimePoint startedAt_{};
  std::size_t sent_ = 0;
  std::size_t underWay_ = 0;
};

} // namespace goldcrestcroft
