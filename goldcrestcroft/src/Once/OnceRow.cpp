#include "OnceRow.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

auto OutcomeFrom(const std::string& aWord) -> Outcome
{
  for (const auto outcome :
       { Outcome::Completed, Outcome::NotRun, Outcome::Failed }) {
    if (ToString(outcome) == aWord) {
      return outcome;
    }
  }
  return Outcome::Unknown;
}

} // namespace

auto EncodeOnceRow(const OnceRow& aRow) -> std::string
{
  json row{ { "attempt", aRow.attempt_.value_ },
            { "runner", aRow.runner_.value_ },
            { "incarnation", aRow.incarnation_ } };
  if (aRow.answer_) {
    row["outcome"] = ToString(aRow.answer_->outcome_);
    row["body"] = aRow.answer_->body_;
  }
  return row.dump();
}

auto DecodeOnceRow(const std::string& aText) -> Result<OnceRow>
{
  try {
    const auto document = json::parse(aText);
    OnceRow row{ .attempt_ = { document.at("attempt") },
                 .runner_ = { document.at("runner") },
                 .incarnation_ = document.at("incarnation") };
    if (document.contains("outcome")) {
      row.answer_ =
        RecordedResponse{ .outcome_ = OutcomeFrom(document.at("outcome")),
                          .body_ = document.at("body") };
    }
    return row;
  } catch (const json::exception& failure) {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = std::string("at-most-once row unreadable: ") +
                              failure.what(),
                  .remedy_ = "restore the row in the table service" });
  }
}

} // namespace goldcrestcroft
