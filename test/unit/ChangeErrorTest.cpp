#include "Failure.h"

#include <cstdio>
#include <fstream>

#include <goldcrestcroft/Gateway.h>
#include <goldcrestcroft/Server.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** A file with this text, which is removed at the end. */
class TextFile
{
public:
  explicit TextFile(const std::string& aText) { std::ofstream(name_) << aText; }
  TextFile(const TextFile&) = delete;
  auto operator=(const TextFile&) -> TextFile& = delete;
  ~TextFile() { std::remove(name_.c_str()); }

  [[nodiscard]] auto Name() const -> const std::string& { return name_; }

private:
  std::string name_ = "change-error-test.json";
};

} // namespace

TEST_CASE("an error keeps its kind, message and remedy when detail is added")
{
  const auto fail = []() -> Result<int> {
    return Fail({ .kind_ = ErrorKind::Conflict,
                  .message_ = "taken",
                  .remedy_ = "take another one" });
  };
  const auto error = FailureOfResult([&] {
    return ChangeError(fail, [](Error aError) {
      aError.message_ = "seat 3: " + aError.message_;
      return aError;
    });
  });
  CHECK(error == Error{ .kind_ = ErrorKind::Conflict,
                        .message_ = "seat 3: taken",
                        .remedy_ = "take another one" });
  CHECK(ValueOf([] {
          return ChangeError([]() -> Result<int> { return 7; },
                             [](const Error& aError) { return aError; });
        }) == 7);
}

TEST_CASE("errors in a settings file name the file and the setting")
{
  const TextFile file("{\"host\": 1}");
  const auto ofEntry =
    FailureOfResult([&] { return LoadNodeSettings(file.Name()); });
  const auto ofServe =
    FailureOfResult([&] { return LoadSettings(file.Name()); });
  for (const auto& error : { ofEntry, ofServe }) {
    CAPTURE(error.message_);
    CHECK(error.kind_ == ErrorKind::InvalidSettings);
    CHECK(error.message_.find(file.Name() + ": 'host'") == 0);
    CHECK_FALSE(error.remedy_.empty());
  }
}

} // namespace testing
