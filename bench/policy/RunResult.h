#pragma once

#include <goldcrestcroft/Core.h>

#include <map>
#include <string>
#include <vector>

namespace bench {

/** \brief Results of one run of one policy. */
struct RunResult
{
  std::size_t offered_ = 0;
  std::size_t inTime_ = 0;
  std::size_t refused_ = 0;
  std::size_t missed_ = 0;
  /** Attempts after the first of a stage (retries and hedges), and all
   * attempts. */
  std::size_t extraAttempts_ = 0;
  std::size_t attempts_ = 0;
  double seconds_ = 0.0;
  /** Requests by workspace: offered and answered in time. */
  std::map<std::string, std::size_t> offeredBy_;
  std::map<std::string, std::size_t> inTimeBy_;
  /** Requests to the dedicated pools: offered and answered in time. */
  std::size_t dedicatedOffered_ = 0;
  std::size_t dedicatedInTime_ = 0;
  /** Slot-seconds by pool: paid for, spent, and spent on requests that were
   * answered in time. */
  std::map<std::string, double> paid_;
  std::map<std::string, double> spent_;
  std::map<std::string, double> useful_;
  /** Time from arrival to the first token of requests answered in time. */
  std::vector<double> firstTokenMilliseconds_;
  std::vector<double> refusalMilliseconds_;

  [[nodiscard]] auto Attainment() const -> double;
  /** \brief Returns the lowest attainment of any workspace; the first workspace
   * is left out if aExcludeFirst is set. */
  [[nodiscard]] auto MinAttainment(bool aExcludeFirst) const -> double;
  [[nodiscard]] auto DedicatedAttainment() const -> double;
  [[nodiscard]] auto Goodput() const -> double;
  [[nodiscard]] auto UsefulOverPaid() const -> double;
  [[nodiscard]] auto WastedSeconds() const -> double;
  [[nodiscard]] auto ExtraAttemptRatio() const -> double;
  [[nodiscard]] auto FirstTokenP95() const -> double;
};

} // namespace bench
