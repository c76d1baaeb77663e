#pragma once

#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

/** \brief Fields that each response has after its status line. */
inline const std::string kSignedFields = "Goldcrestcroft-Request-Id: @ID\r\n"
                                         "Goldcrestcroft-Server-Seal: s\r\n";
/** \brief Beginning of the head of a signed response with status 200. */
inline const std::string kHead = "HTTP/1.1 200 OK\r\n" + kSignedFields;
inline const std::string kEvent = "id: 1\ndata: @ID\n\n";
inline const std::string kSecondEvent = "id: 2\ndata: @ID\n\n";

inline auto IsComplete(const CallerResponse& aResponse) -> bool
{
  return aResponse.status_ == 200 && aResponse.whole_;
}

/** \brief Entry host in front of engines for each service, the first of which
 * or all respond with given bytes. */
class RawFleet
{
public:
  explicit RawFleet(standins::PlatformStandin::Options aPlatform = {})
    : fleet_(1, WithFourEngines(std::move(aPlatform)))
  {
    REQUIRE(fleet_.AwaitReady(0));
  }

  /** \brief Calls the function with each engine that runs requests. */
  template<typename Function>
  auto ForEachEngine(Function aFunction) -> void
  {
    for (const auto* service : { "desk", "model" }) {
      for (const auto& engine : fleet_.Platform().Engines(service)) {
        aFunction(*engine);
      }
    }
  }
  /** \brief Sets the response of all engines; std::nullopt restores the
   * regular ones. */
  auto RespondWith(const std::optional<std::string>& aBytes,
                   standins::RawEnd aEnd = standins::RawEnd::Closes,
                   std::chrono::milliseconds aPause = {}) -> void
  {
    ForEachEngine(
      [&](auto& aEngine) { aEngine.SetRawResponse(aBytes, aEnd, aPause); });
  }
  auto Get(const std::string& aTarget, const std::string& aBytes,
           standins::RawEnd aEnd = standins::RawEnd::Closes) -> CallerResponse
  {
    RespondWith(aBytes, aEnd);
    return fleet_.Get(0, aTarget);
  }
  auto Fleet() -> EntryFleet& { return fleet_; }
  [[nodiscard]] auto LastId() const -> std::string { return fleet_.LastId(); }
  /** \brief How often the last request ran. */
  auto RunsOfLast() -> int
  {
    return fleet_.RunsOf("desk", LastId()) + fleet_.RunsOf("model", LastId());
  }

private:
  // Engines that fail repeatedly are ejected for a while.
  static auto WithFourEngines(standins::PlatformStandin::Options aPlatform)
    -> standins::PlatformStandin::Options
  {
    aPlatform.enginesPerService_ = 4;
    return aPlatform;
  }

  EntryFleet fleet_;
};

/** \brief A result that no engine of the fleet has produced, and the response
 * of a stage engine that names it. */
inline const std::string kForeignResult = "127.0.0.1:1/1";
inline const std::string kStageBody =
  R"({"items":[{"handle":")" + kForeignResult + R"("}]})";
inline const std::string kStageLength =
  "Content-Length: " + std::to_string(kStageBody.size()) + "\r\n";

/** \brief Whether a result is used that one stage engine names by these bytes;
 * in any case, the requests are served. */
inline auto IsResultUsed(const std::string& aBytes) -> bool
{
  RawFleet fleet;
  auto& platform = fleet.Fleet().Platform();
  auto& engine = *platform.Engines("ranker")[0];
  engine.SetRawResponse(aBytes);
  auto isUsed = false;
  CHECK(EntryFleet::Await([&] {
    CHECK(IsComplete(fleet.Fleet().Call(
      0, { .target_ = "/stream/x",
           .headers_ = { { "Goldcrestcroft-Pieces", "1,1" } } })));
    for (const auto& model : platform.Engines("model")) {
      isUsed =
        isUsed || model->LastHeader("Goldcrestcroft-Inputs") == kForeignResult;
    }
    return engine.ReceivedCount() > 0;
  }));
  return isUsed;
}

} // namespace testing
