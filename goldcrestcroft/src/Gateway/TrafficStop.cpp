#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

auto Traffic::StopAccepting() -> void
{
  if (!acceptor_->is_open()) {
    return;
  }
  // Callers in the accept queue are already connected from their point of view.
  boost::system::error_code error;
  acceptor_->non_blocking(true, error);
  while (!error && callers_.size() < options_.settings_.CallerLimit()) {
    Tcp::socket socket(context_);
    acceptor_->accept(socket, error);
    if (!error) {
      StartCaller(std::move(socket));
    }
  }
  acceptor_->close(error);
}

auto Traffic::Stop(const StopTimes& aTimes) -> void
{
  stopping_ = true;
  stopAdmission_.emplace(aTimes);
}

auto Traffic::Admits(const std::string& aRoute, Duration aLeft) const -> bool
{
  if (!stopAdmission_) {
    return true;
  }
  const auto known = answerTimes_.find(aRoute);
  const auto typical =
    known == answerTimes_.end() ? std::nullopt : known->second.Typical();
  return stopAdmission_->Admits(typical, aLeft, Now());
}

auto Traffic::EndRequests() -> void
{
  const auto runs = runs_;
  for (auto* run : runs) {
    if (!run->HasBegunResponse()) {
      run->OnHostShutdown();
    }
  }
}

auto Traffic::EndStreams() -> void
{
  const auto runs = runs_;
  for (auto* run : runs) {
    run->OnHostShutdown();
  }
}

auto Traffic::CloseIdle() -> void
{
  const auto callers = callers_;
  for (const auto& caller : callers) {
    caller->CloseWhenIdle();
  }
}

} // namespace goldcrestcroft
