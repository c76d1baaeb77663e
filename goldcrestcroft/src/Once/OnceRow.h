#pragma once

#include "../../Platform.h"

#include <optional>

namespace goldcrestcroft {

/** \brief The recorded result of a non-idempotent request. */
struct RecordedResponse
{
  Outcome outcome_ = Outcome::Unknown;
  /** The response as the first caller received it. */
  std::string body_;

  auto operator<=>(const RecordedResponse&) const = default;
};

/** \brief The table row that decides which attempt of a key may run. */
struct OnceRow
{
  AttemptId attempt_;
  HostId runner_;
  Incarnation incarnation_ = 0;
  /** None until the attempt has ended. */
  std::optional<RecordedResponse> answer_;

  auto operator<=>(const OnceRow&) const = default;
};

/** \brief The table that holds the rows. */
inline constexpr auto kOnceTable = "once";

auto EncodeOnceRow(const OnceRow& aRow) -> std::string;

/** \brief Fails with ErrorKind::Protocol if the text is not such a row. */
auto DecodeOnceRow(const std::string& aText) -> Result<OnceRow>;

} // namespace goldcrestcroft
