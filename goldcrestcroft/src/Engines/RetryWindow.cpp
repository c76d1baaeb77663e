#include "RetryWindow.h"

#include <algorithm>

namespace goldcrestcroft {

auto RetryWindow::Current(TimePoint aNow) -> Slice&
{
  const auto number =
    aNow.time_since_epoch().count() / (options_.window_.count() / kSlices);
  // One slice more than the window is kept, so that every span of the window's
  // length is covered.
  while (!slices_.empty() && slices_.front().number_ < number - kSlices) {
    slices_.pop_front();
  }
  if (slices_.empty() || slices_.back().number_ < number) {
    slices_.push_back({ .number_ = number });
  }
  return slices_.back();
}

auto RetryWindow::OnRequest(TimePoint aNow) -> void
{
  ++Current(aNow).requests_;
}

auto RetryWindow::TryTake(std::size_t aHosts, TimePoint aNow) -> bool
{
  auto& current = Current(aNow);
  auto requests = 0.0;
  auto retries = 0.0;
  for (const auto& slice : slices_) {
    requests += slice.requests_;
    retries += slice.retries_;
  }
  const auto hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const auto allowed =
    options_.margin_ * (options_.ratio_ * requests + options_.slack_ / hosts);
  if (retries + 1.0 > allowed) {
    return false;
  }
  ++current.retries_;
  return true;
}

} // namespace goldcrestcroft
