#include "HeldBytes.h"

namespace goldcrestcroft {

HeldBytes::Share::Share(HeldBytes& aAll, std::function<void()> aOnCut)
  : all_(aAll)
  , onCut_(std::move(aOnCut))
{
  all_.shares_.insert(this);
}

HeldBytes::Share::~Share()
{
  all_.shares_.erase(this);
  all_.total_ -= bytes_;
}

auto HeldBytes::Share::Grow(std::size_t aBytes) -> bool
{
  bytes_ += aBytes;
  all_.total_ += aBytes;
  if (all_.total_ > kMost) {
    all_.CutLongest();
  }
  return !cut_;
}

auto HeldBytes::CutLongest() -> void
{
  Share* longest = nullptr;
  for (auto* share : shares_) {
    const auto open = !share->settled_ && !share->cut_;
    if (open && (longest == nullptr || share->bytes_ > longest->bytes_)) {
      longest = share;
    }
  }
  if (longest != nullptr) {
    longest->cut_ = true;
    total_ -= longest->bytes_;
    longest->bytes_ = 0;
    longest->onCut_();
  }
}

} // namespace goldcrestcroft
