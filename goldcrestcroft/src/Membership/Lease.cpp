#include "Lease.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

auto EncodeLeaseRow(const LeaseRow& aRow) -> std::string
{
  return nlohmann::json{
    { "holder", aRow.holder_.value_ },
    { "token", aRow.token_ },
    { "renewals", aRow.renewals_ }
  }.dump();
}

auto DecodeLeaseRow(const std::string& aText) -> Result<LeaseRow>
{
  try {
    const auto row = nlohmann::json::parse(aText);
    return LeaseRow{ .holder_ = { row.at("holder") },
                     .token_ = row.at("token"),
                     .renewals_ = row.at("renewals") };
  } catch (const nlohmann::json::exception& failure) {
    return Fail(
      { .kind_ = ErrorKind::Protocol,
        .message_ = std::string("lease row unreadable: ") + failure.what(),
        .remedy_ = "delete the row; a host will then acquire the lease" });
  }
}

auto Lease::Holds(TimePoint aNow) const -> bool
{
  return validUntil_ && aNow < *validUntil_;
}

auto Lease::Tick(TimePoint aNow) -> Step
{
  if (underWay_ != Step::Idle || aNow < nextTry_) {
    return Step::Idle;
  }
  nextTry_ = aNow + options_.renewEvery_;
  underWay_ = Step::Read;
  return underWay_;
}

auto Lease::Observe(const Row& aRow, TimePoint aNow) -> void
{
  if (!seenSince_ || aRow.version_ != seen_.version_) {
    seen_ = aRow;
    seenSince_ = aNow;
  }
}

auto Lease::PrepareWrite(RowVersion aVersion, LeaseRow aRow) -> void
{
  writing_ = std::move(aRow);
  write_ = { .key_ = options_.row_,
             .value_ = EncodeLeaseRow(writing_),
             .expected_ = aVersion };
}

auto Lease::OnRead(const ReadReply& aReply, TimePoint aNow) -> void
{
  underWay_ = Step::Idle;
  if (aReply.status_ != TableStatus::Done) {
    return;
  }
  const auto row =
    aReply.rows_.empty() ? Row{ .key_ = options_.row_ } : aReply.rows_.front();
  Observe(row, aNow);
  if (row.version_ == 0) {
    PrepareWrite(0, { .holder_ = options_.self_, .token_ = 1 });
  } else {
    const auto known = Handle([&] { return DecodeLeaseRow(row.value_); },
                              [](const Error&) { return LeaseRow{}; });
    const auto isRenewal =
      known.holder_ == options_.self_ && known.token_ == token_ && Holds(aNow);
    if (isRenewal) {
      auto renewed = known;
      ++renewed.renewals_;
      PrepareWrite(row.version_, renewed);
    } else if (aNow - *seenSince_ >= options_.term_) {
      PrepareWrite(row.version_,
                   { .holder_ = options_.self_, .token_ = known.token_ + 1 });
    } else {
      return;
    }
  }
  sentAt_ = aNow;
  underWay_ = Step::Write;
}

auto Lease::OnWritten(const TransactReply& aReply, TimePoint aNow) -> void
{
  underWay_ = Step::Idle;
  if (aReply.status_ != TableStatus::Done) {
    // A write whose reply was lost may have renewed or acquired the lease.
    // Nothing is assumed without proof; the next read shows it.
    return;
  }
  if (writing_.token_ != token_ || !Holds(aNow)) {
    heldSince_ = aNow;
  }
  token_ = writing_.token_;
  validUntil_ = sentAt_ + options_.term_;
}

} // namespace goldcrestcroft
