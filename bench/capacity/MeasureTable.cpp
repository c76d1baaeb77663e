#include "MeasureTable.h"

#include <spdlog/fmt/fmt.h>

namespace bench {

auto MeasureTable::Page() const -> std::string
{
  std::string page = "# Slopes behind the capacity page\n\nWritten by "
                     "`scripts/measure --capacity` in one run; read with "
                     "[docs/CAPACITY.md](../CAPACITY.md).\n\n"
                     "| role | size | what | value | unit |\n"
                     "| --- | --- | --- | --- | --- |\n";
  for (const auto& measure : measures_) {
    page +=
      fmt::format("| {} | {} | {} | {:.4g} | {} |\n", measure.role_,
                  measure.size_, measure.what_, measure.value_, measure.unit_);
  }
  return page;
}

} // namespace bench
