#pragma once

#include <goldcrestcroft/Core.h>

#include <map>
#include <string>
#include <vector>

namespace bench {

/** \brief What one run of one policy came to. */
struct RunResult
{
  std::size_t offered_ = 0;
  std::size_t inTime_ = 0;
  std::size_t refused_ = 0;
  std::size_t missed_ = 0;
  /** Attempts beyond the first of a stage, and all attempts. */
  std::size_t extraAttempts_ = 0;
  std::size_t attempts_ = 0;
  double seconds_ = 0.0;
  /** By workspace: offered and answered in time. */
  std::map<std::string, std::size_t> offeredBy_;
  std::map<std::string, std::size_t> inTimeBy_;
  /** Requests to the dedicated pools: offered and answered in time. */
  std::size_t desksOffered_ = 0;
  std::size_t desksInTime_ = 0;
  /** By pool: copy-seconds paid, spent, and spent on what was answered in
   * time, all in slots. */
  std::map<std::string, double> paid_;
  std::map<std::string, double> spent_;
  std::map<std::string, double> useful_;
  /** From arrival to the first token, of what was answered in time. */
  std::vector<double> firstTokenMilliseconds_;
  std::vector<double> refusalMilliseconds_;

  [[nodiscard]] auto Attainment() const -> double;
  /** \brief The smallest attainment of a workspace; all but the first when
   * aWithoutFirst. */
  [[nodiscard]] auto LeastAttainment(bool aWithoutFirst) const -> double;
  [[nodiscard]] auto DeskAttainment() const -> double;
  [[nodiscard]] auto Goodput() const -> double;
  [[nodiscard]] auto UsefulOverPaid() const -> double;
  [[nodiscard]] auto Wasted() const -> double;
  [[nodiscard]] auto ExtraWork() const -> double;
  [[nodiscard]] auto FirstTokenP95() const -> double;
};

} // namespace bench
