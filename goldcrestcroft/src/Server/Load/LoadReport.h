#pragma once

#include "../../../Core.h"

#include <map>
#include <memory>
#include <string>

namespace goldcrestcroft {

/** \brief Gathers what a load run saw and prints it. */
class LoadReport
{
public:
  LoadReport();
  ~LoadReport();

  /** \brief One answer. aAdded is what the system added to the servers' time,
   * over aHops hops. */
  auto OnAnswer(const std::string& aOutcome, Duration aTook, Duration aAdded,
                std::size_t aHops) -> void;
  /** \brief An answer that is not whole or not the request's own. */
  auto OnWrong(const std::string& aWhy) -> void { ++wrong_[aWhy]; }

  [[nodiscard]] auto Answers() const -> std::size_t { return answers_; }
  [[nodiscard]] auto Completed() const -> std::size_t;
  [[nodiscard]] auto AllRight() const -> bool;
  auto Print(Duration aElapsed) const -> void;

private:
  class Quantiles;

  std::size_t answers_ = 0;
  std::map<std::string, std::size_t> outcomes_;
  std::map<std::string, std::size_t> wrong_;
  std::unique_ptr<Quantiles> took_;
  std::unique_ptr<Quantiles> added_;
  std::unique_ptr<Quantiles> addedPerHop_;
};

} // namespace goldcrestcroft
