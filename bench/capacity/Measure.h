#pragma once

#include <string>

namespace bench {

/** \brief One measured value of one role of a host at one size. */
struct Measure
{
  std::string role_;
  std::string size_;
  std::string what_;
  double value_ = 0.0;
  std::string unit_;
};

} // namespace bench
