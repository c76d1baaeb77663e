#include "RepeatWindow.h"

#include <algorithm>

namespace goldcrestcroft {

auto RepeatWindow::Current(TimePoint aNow) -> Slice&
{
  const auto number =
    aNow.time_since_epoch().count() / (options_.window_.count() / kSlices);
  // One slice more than the window, so that no span of its length is missed.
  while (!slices_.empty() && slices_.front().number_ < number - kSlices) {
    slices_.pop_front();
  }
  if (slices_.empty() || slices_.back().number_ < number) {
    slices_.push_back({ .number_ = number });
  }
  return slices_.back();
}

auto RepeatWindow::OnRequest(TimePoint aNow) -> void
{
  ++Current(aNow).requests_;
}

auto RepeatWindow::TryTake(std::size_t aHosts, TimePoint aNow) -> bool
{
  auto& current = Current(aNow);
  auto requests = 0.0;
  auto repeats = 0.0;
  for (const auto& slice : slices_) {
    requests += slice.requests_;
    repeats += slice.repeats_;
  }
  const auto hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const auto allowed =
    options_.margin_ * (options_.ratio_ * requests + options_.slack_ / hosts);
  if (repeats + 1.0 > allowed) {
    return false;
  }
  ++current.repeats_;
  return true;
}

} // namespace goldcrestcroft
