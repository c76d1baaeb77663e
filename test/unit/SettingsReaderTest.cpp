#include "Failure.h"

#include <goldcrestcroft/src/Gateway/SettingsReader.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using internal::SettingsReader;
using nlohmann::json;

} // namespace

TEST_CASE("a figure that is out of range is replaced by the nearest bound")
{
  const json document{ { "low", -5 }, { "high", 1e9 }, { "fits", 7 } };
  SettingsReader reader(document);
  CHECK(reader.Number("low", 1.0, 0.5, 10.0) == 0.5);
  CHECK(reader.Number("high", 1.0, 0.5, 10.0) == 10.0);
  CHECK(reader.Number("fits", 1.0, 0.5, 10.0) == 7.0);
  CHECK(reader.Number("absent", 1.5, 0.5, 10.0) == 1.5);
  CHECK(reader.Warnings().size() == 2);
}

TEST_CASE("a whole number may be written as a fraction")
{
  const json document{ { "a", 260.0 }, { "b", 259.9 }, { "c", -0.5 } };
  SettingsReader reader(document);
  CHECK(reader.Whole<std::size_t>("a", 1, 0, 1000) == 260);
  CHECK(reader.Whole<std::size_t>("b", 1, 0, 1000) == 259);
  CHECK(reader.Warnings() ==
        std::vector<std::string>{ "'c' is not a known key; it is ignored" });
  CHECK(reader.Whole<std::size_t>("c", 1, 0, 1000) == 0);
  CHECK(reader.Warnings().size() == 1);
}

TEST_CASE("a value of the wrong type is replaced by the default with a warning")
{
  const json document{ { "number", "260" },     { "flag", true },
                       { "text", 7 },           { "list", "a" },
                       { "mixed", { "a", 7 } }, { "none", nullptr } };
  SettingsReader reader(document);
  CHECK(reader.Number("number", 5.0, 0.0, 10.0) == 5.0);
  CHECK(reader.Number("flag", 5.0, 0.0, 10.0) == 5.0);
  CHECK(reader.Text("text", "x") == "x");
  CHECK(reader.Texts("list").empty());
  CHECK(reader.Texts("mixed") == std::vector<std::string>{ "a" });
  CHECK(reader.Number("none", 5.0, 0.0, 10.0) == 5.0);
  CHECK(reader.Warnings().size() == 5);
}

} // namespace testing
