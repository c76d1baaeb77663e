#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

/** Time for a keeper to answer: a busy host of a tenth of a core, across
 * zones, answers within 100 ms. Two of them fit the time of a search. */
constexpr auto kKeeperTime = std::chrono::milliseconds{ 150 };
/** A keeper that did not answer is not asked for so long, and an engine neither
 * if none of its keepers answers. */
constexpr auto kAfterSilence = std::chrono::milliseconds{ 500 };

} // namespace

auto ControlPlane::SpreadLimit(const EngineLimit& aWord) -> void
{
  if (limits_.Merge(aWord, clock_.Now()) == LimitBoard::Merged::Changed) {
    BeatToSome();
  }
}

auto ControlPlane::LearnLimit(const EngineLimit& aWord) -> void
{
  if (limits_.Merge(aWord, clock_.Now()) != LimitBoard::Merged::Ignored) {
    listener_.onLimit_(aWord);
  }
}

auto ControlPlane::TendLimits() -> void
{
  const auto now = clock_.Now();
  limits_.Expire(now);
  issuer_.Expire(now);
  std::erase_if(silentKeepers_,
                [&](const auto& aItem) { return aItem.second <= now; });
}

auto ControlPlane::Issue(const PermitAsk& aAsk) -> Permit
{
  const auto now = clock_.Now();
  LearnLimit(FromReport(aAsk.limit_, now));
  const EngineStart start(aAsk.limit_.engine_, aAsk.limit_.startedAt_);
  const auto word = limits_.Find(start);
  if (!word || !word->perSecond_) {
    return { .granted_ = true }; // It has ended, as the asker is told.
  }
  return issuer_.Take(start, *word->perSecond_, aAsk.patience_, now);
}

auto ControlPlane::OnPermitAsk(const PermitAsk& aAsk,
                               const std::string& aAddress) -> void
{
  const auto permit = Issue(aAsk);
  FleetHeartbeat beat{ .permits_ = {
                         { .number_ = aAsk.number_, .permit_ = permit } } };
  const EngineStart start(aAsk.limit_.engine_, aAsk.limit_.startedAt_);
  if (const auto word = limits_.Find(start);
      word && word->perSecond_ != aAsk.limit_.perSecond_) {
    beat.limits_.push_back(ToReport(*word, clock_.Now()));
  }
  SendAlone(aAddress, std::move(beat));
}

auto ControlPlane::OnPermitAnswer(const PermitAnswer& aAnswer) -> void
{
  const auto found = asked_.find(aAnswer.number_);
  if (found == asked_.end()) {
    return; // It came too late: the turn is lost.
  }
  found->second->permit_ = aAnswer.permit_;
  found->second->answered_.cancel();
}

auto ControlPlane::AskKeeper(std::string aAddress, PermitAsk aAsk)
  -> Task<std::optional<Permit>>
{
  aAsk.number_ = ++lastAsk_;
  const auto asked = std::make_shared<AskedPermit>(
    AskedPermit{ .answered_ = asio::steady_timer(context_, kKeeperTime) });
  asked_.emplace(aAsk.number_, asked);
  SendAlone(aAddress, { .permitAsks_ = { aAsk } });
  co_await asked->answered_.async_wait(kAsTuple);
  asked_.erase(aAsk.number_);
  co_return asked->permit_;
}

auto ControlPlane::FindPermit(PermitWish aWish) -> Task<void>
{
  const EngineStart start(aWish.limit_.engine_, aWish.limit_.startedAt_);
  PermitAnswer answer{ .number_ = aWish.number_,
                       .permit_ = { .wait_ = kAfterSilence } };
  // In its first moments a host knows too few others to say who keeps what.
  const auto keepers =
    settled_ ? issuer_.Keepers(start) : std::vector<std::string>{};
  for (const auto& keeper : keepers) {
    const auto host = HostOfKeeper(keeper);
    const auto* known = published_.Find(host);
    if (known == nullptr || silentKeepers_.contains(keeper)) {
      continue;
    }
    const PermitAsk ask{ .limit_ = ToReport(aWish.limit_, clock_.Now()),
                         .patience_ = aWish.patience_ };
    std::optional<Permit> permit;
    if (host == options_.settings_.host_) {
      permit = Issue(ask);
    } else {
      permit = co_await AskKeeper(known->peerAddress_, ask);
    }
    if (permit) {
      answer.permit_ = *permit;
      break;
    }
    silentKeepers_[keeper] = clock_.Now() + kAfterSilence;
    Log::Write(LogLevel::Info, "permit_keeper_silent",
               { { "engine", start.first }, { "keeper", host } });
  }
  listener_.onPermit_(answer);
}

auto ControlPlane::SeekPermit(const PermitWish& aWish) -> void
{
  asio::co_spawn(context_, FindPermit(aWish), LogFailure{ "find_permit" });
}

} // namespace goldcrestcroft
