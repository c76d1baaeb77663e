#include "../../Observability/Log.h"
#include "../Http/ResponseCodec.h"
#include "ConfigManager.h"
#include "ConfigRows.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

constexpr long kOk = 200;
} // namespace

auto ConfigManager::OnSubmitted(PatchSubmitted aPatch) -> void
{
  const auto& inForce = follower_.InForce();
  // The counter distinguishes the rows of two patches by one author.
  const ConfigPatch patch{ .number_ = aPatch.base_ + 1,
                           .author_ = fmt::format("{}@{}-{:x}-{}",
                                                  aPatch.author_, host_.value_,
                                                  incarnation_, ++submissions_),
                           .operations_ = aPatch.operations_ };
  const auto valid = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(inForce->Apply(patch));
      return true;
    },
    [&](const Error& aError) {
      aPatch.reply_.Send(
        BuildResponse(Refusal(aError), { .request_ = aPatch.request_,
                                         .version_ = inForce->Number() }));
      return false;
    });
  if (valid) {
    Advance(std::make_shared<Submission>(Submission{
      .state_ = PatchSubmission(patch, {}), .mail_ = std::move(aPatch) }));
  }
}

auto ConfigManager::Advance(const std::shared_ptr<Submission>& aSubmission)
  -> void
{
  switch (aSubmission->state_.Next()) {
    case PatchSubmission::Step::Insert:
      Insert(aSubmission);
      break;
    case PatchSubmission::Step::ReadBack:
      ReadBack(aSubmission);
      break;
    default:
      Finish(*aSubmission);
      break;
  }
}

auto ConfigManager::Insert(const std::shared_ptr<Submission>& aSubmission)
  -> void
{
  const auto& patch = aSubmission->state_.Patch();
  // Both rows are written in one transaction, and the row of a number is
  // inserted only once. So the head never gets ahead of the patches and never
  // moves back.
  table_.Transact(
    { { .key_ = PatchKey(patch.number_),
        .value_ = EncodePatch(patch),
        .expected_ = 0 },
      { .key_ = HeadKey(), .value_ = std::to_string(patch.number_) } },
    [this, aSubmission](const TransactReply& aReply) {
      auto& state = aSubmission->state_;
      if (aReply.status_ == TableStatus::Done) {
        state.OnInserted();
      } else if (aReply.status_ == TableStatus::Conflict) {
        const auto rows = DecodePatches(aReply.conflicts_);
        rows.empty() ? state.OnLost() : state.OnRow(rows.front());
      } else {
        state.OnLost();
      }
      Advance(aSubmission);
    });
}

auto ConfigManager::ReadBack(const std::shared_ptr<Submission>& aSubmission)
  -> void
{
  table_.Read({ PatchKey(aSubmission->state_.Patch().number_) },
              [this, aSubmission](const ReadReply& aReply) {
                auto& state = aSubmission->state_;
                const auto rows = DecodePatches(aReply.rows_);
                if (aReply.status_ != TableStatus::Done) {
                  state.OnLost();
                } else if (rows.empty()) {
                  state.OnAbsent();
                } else {
                  state.OnRow(rows.front());
                }
                Advance(aSubmission);
              });
}

auto ConfigManager::Finish(Submission& aSubmission) -> void
{
  const auto& state = aSubmission.state_;
  const auto& patch = state.Patch();
  ResponseContext context{ .request_ = aSubmission.mail_.request_,
                           .version_ = patch.number_ };
  auto& reply = aSubmission.mail_.reply_;
  if (state.Next() == PatchSubmission::Step::Accepted) {
    ApplyPatch(patch, clock_.Now());
    handlers_.onAccepted_(patch);
    if (patch.number_ % kSnapshotEvery == 0) {
      SaveSnapshot(follower_.InForce());
    }
    reply.Send(
      BuildResponse({ .outcome_ = Outcome::Completed,
                      .text_ = fmt::format("version {}", patch.number_) },
                    context));
    return;
  }
  if (state.Next() == PatchSubmission::Step::Refused) {
    const auto& winner = *state.Winner();
    OnVersionAdvertised(winner.number_, clock_.Now());
    ApplyPatch(winner, clock_.Now());
    reply.Send(BuildResponse(
      Refusal({ .kind_ = ErrorKind::Conflict,
                .message_ = fmt::format("version {} was taken by {}",
                                        winner.number_, winner.author_),
                .remedy_ = "read the newest version and patch that" }),
      context));
    return;
  }
  reply.Send(BuildResponse(
    { .outcome_ = Outcome::Unknown,
      .error_ = { .kind_ = ErrorKind::Timeout,
                  .message_ = fmt::format(
                    "the table service does not say whether {} made version {}",
                    patch.author_, patch.number_),
                  .remedy_ = "look for that author in the history before "
                             "sending the patch again" },
      .retryAfter_ = std::chrono::seconds{ 2 } },
    context));
}

auto ConfigManager::SaveSnapshot(const ConfigVersionPtr& aVersion) -> void
{
  if (settings_.objects_.empty()) {
    return;
  }
  const auto number = aVersion->Number();
  const auto body = json{ { "version", number },
                          { "document", json::parse(aVersion->Document()) } };
  http_.Send(
    { .method_ = "PUT",
      .url_ = fmt::format("http://{}/v1/objects/config-{}", settings_.objects_,
                          number),
      .body_ = body.dump(),
      .timeout_ = settings_.timeout_ },
    { .onEnd_ = [this, number](const HttpResponse& aReply) {
      if (aReply.end_ == HttpOutcome::Answered && aReply.status_ == kOk) {
        // Two hosts may write this row in either order. A lower
        // number only means that a few more patches are read.
        table_.Transact(
          { { .key_ = SnapshotKey(), .value_ = std::to_string(number) } },
          [](const TransactReply&) {});
      }
    } });
}

} // namespace goldcrestcroft
