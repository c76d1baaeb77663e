#include "ProcessMain.h"

#include "../Core/Signals.h"
#include "AbnormalEnd.h"

#include <cstdio>

namespace goldcrestcroft {

auto PrepareServerSignals() -> void
{
  BlockSignals();
  IgnoreWriteSignals();
  IgnoreUnusedSignals();
  ReportAbnormalEnds();
}

auto ReportError(const Error& aError) -> int
{
  std::fprintf(stderr, "goldcrestcroft: %s: %s; %s\n",
               ToString(aError.kind_).c_str(), aError.message_.c_str(),
               aError.remedy_.c_str());
  return aError.kind_ == ErrorKind::InvalidSettings ? kExitInvalidSettings
                                                    : kExitFailure;
}

} // namespace goldcrestcroft
