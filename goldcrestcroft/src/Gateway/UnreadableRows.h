#pragma once

#include "../../Core.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief Logs rows of the store that cannot be read, each problem once. Beyond
 * a number of rows it logs only how many there are, so that a table full of
 * them leaves room for other lines. */
class UnreadableRows
{
public:
  struct Options
  {
    /** Name of the lines. */
    std::string event_;
    /** Number of rows that are logged one by one. */
    std::size_t maxLogged_ = 50;
    /** Interval at which the others are counted, and after which rows are
     * logged one by one again. */
    Duration interval_ = std::chrono::seconds{ 10 };
  };

  explicit UnreadableRows(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /** \brief Returns whether the problem of the row is new. */
  auto Report(const std::string& aKey, const Error& aError, TimePoint aNow)
    -> bool;
  /** \brief Logs how many rows have not been logged, if it is time. Returns
   * that number, or 0. */
  auto Summarize(TimePoint aNow) -> std::size_t;

private:
  Options options_;
  /** The problems that were logged, by key. */
  std::map<std::string, std::string> logged_;
  std::size_t notLogged_ = 0;
  TimePoint notLoggedSince_;
};

} // namespace goldcrestcroft
