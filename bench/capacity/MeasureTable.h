#pragma once

#include "Measure.h"

#include <vector>

namespace bench {

/** \brief Measured values in the order in which they were added. */
class MeasureTable
{
public:
  auto Add(const std::string& aRole, const std::string& aSize,
           const std::string& aWhat, double aValue, const std::string& aUnit)
    -> void
  {
    measures_.push_back({ aRole, aSize, aWhat, aValue, aUnit });
  }
  /** \brief Returns the Markdown page for docs/results. */
  [[nodiscard]] auto Page() const -> std::string;

private:
  std::vector<Measure> measures_;
};

} // namespace bench
