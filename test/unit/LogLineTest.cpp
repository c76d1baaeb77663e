#include <doctest/doctest.h>
#include <goldcrestcroft/src/Observability/LogLine.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("a value from outside ends the line of a text log or becomes a field "
          "of its own")
{
  const auto line = [](std::string aValue) {
    return TextLogLine("event", { { "a", std::move(aValue) }, { "b", "1" } });
  };
  CHECK(line("x-1:/y") == "event a=x-1:/y b=1");
  CHECK(line("") == "event a= b=1");
  CHECK(line("x\n2026-01-01 00:00:00.000 info forged") ==
        R"(event a="x?2026-01-01 00:00:00.000 info forged" b=1)");
  CHECK(line("x b=2") == R"(event a="x b=2" b=1)");
  CHECK(line(R"(x" b="2)") == R"(event a="x\" b=\"2" b=1)");
  CHECK(line(R"(x\)") == R"(event a="x\\" b=1)");
  CHECK(line("\x1b[31m\xc3\xa4\x7f") == R"(event a="?[31m???" b=1)");
}

TEST_CASE("a value from outside ends the object of a JSON log or becomes a "
          "member of its own")
{
  CHECK(JsonLogLine("event", "h", { { "a", "x\",\"b\":\"\\\n" } }) ==
        R"("event":"event","host":"h","a":"x\",\"b\":\"\\?")");
}

} // namespace testing
