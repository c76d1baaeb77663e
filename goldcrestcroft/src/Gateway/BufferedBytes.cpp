#include "BufferedBytes.h"

namespace goldcrestcroft {

BufferedBytes::Share::Share(BufferedBytes& aParent,
                            std::function<void()> aOnAbort)
  : parent_(aParent)
  , onAbort_(std::move(aOnAbort))
{
  parent_.shares_.insert(this);
}

BufferedBytes::Share::~Share()
{
  parent_.shares_.erase(this);
  parent_.total_ -= bytes_;
}

auto BufferedBytes::Share::Grow(std::size_t aBytes) -> bool
{
  bytes_ += aBytes;
  parent_.total_ += aBytes;
  if (parent_.total_ > kMaxBytes) {
    parent_.AbortLargest();
  }
  return !aborted_;
}

auto BufferedBytes::AbortLargest() -> void
{
  Share* largest = nullptr;
  for (auto* share : shares_) {
    const auto incomplete = !share->complete_ && !share->aborted_;
    if (incomplete && (largest == nullptr || share->bytes_ > largest->bytes_)) {
      largest = share;
    }
  }
  if (largest != nullptr) {
    largest->aborted_ = true;
    total_ -= largest->bytes_;
    largest->bytes_ = 0;
    largest->onAbort_();
  }
}

} // namespace goldcrestcroft
