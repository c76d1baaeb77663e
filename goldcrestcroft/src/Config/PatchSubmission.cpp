#include "PatchSubmission.h"

namespace goldcrestcroft {

auto PatchSubmission::OnRow(const ConfigPatch& aRow) -> void
{
  if (aRow == patch_) {
    step_ = Step::Accepted;
    return;
  }
  winner_ = aRow;
  step_ = Step::Refused;
}

} // namespace goldcrestcroft
