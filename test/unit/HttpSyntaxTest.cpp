#include <doctest/doctest.h>
#include <goldcrestcroft/Core.h>

#include <string>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("three digits outside the classes of HTTP are no status code")
{
  for (const auto status : { 100, 101, 200, 299, 404, 500, 599 }) {
    CHECK(IsStatusCode(status));
  }
  for (const auto status : { -1, 0, 1, 99, 600, 999, 1000 }) {
    CHECK_FALSE(IsStatusCode(status));
  }
}

TEST_CASE("a line with a blank or a control character in its name is no field")
{
  for (const std::string line :
       { "X-Good: 1\r\n", "X-Good:1\n", "X-Good:", "X!#$%&'*+-.^_`|~9: a:b\r\n",
         "X-Good:\ta\tb \x80\xff \r\n", "\r\n" }) {
    CAPTURE(line);
    CHECK(IsFieldLine(line));
  }
  for (const std::string line :
       { "X bad: 1\r\n", "X-Bad : 1\r\n", "X-Bad\t: 1\r\n", " X-Bad: 1\r\n",
         "\tX-Bad: 1\r\n", "X\x01: 1\r\n", "X\x7f: 1\r\n", "X\x80: 1\r\n",
         ": 1\r\n", "X-Bad\r\n", "X(Bad): 1\r\n", "X-Bad: a\rb\r\n",
         "X-Bad: a\x01\r\n", "X-Bad: a\x7f\r\n", "X-Bad: a\r\r\n",
         "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 a:b\r\n" }) {
    CAPTURE(line);
    CHECK_FALSE(IsFieldLine(line));
  }
  CHECK_FALSE(IsFieldLine(std::string("X\0: 1\r\n", 7)));
  CHECK_FALSE(IsFieldLine(std::string("X: \0\r\n", 6)));
}

TEST_CASE("a text from outside becomes a field of its own in a head")
{
  for (const std::string text : { "i-1", "a b", "a%0d", "\xc3\xa4", "a\tb" }) {
    CAPTURE(text);
    CHECK(IsFieldValue(text));
    CHECK(ToFieldValue(text) == text);
  }
  for (const std::string text :
       { "", " a", "a ", "\ta", "a\r\nX: y", "a\nb", "a\x7f", "\x01" }) {
    CAPTURE(text);
    CHECK_FALSE(IsFieldValue(text));
    CHECK(IsFieldLine("X: " + ToFieldValue(text)));
  }
  CHECK_FALSE(IsFieldValue(std::string_view("a\0b", 3)));
  CHECK(ToFieldValue("a\r\nX: y") == "a  X: y");
}

} // namespace testing
