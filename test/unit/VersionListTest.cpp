#include <doctest/doctest.h>
#include <goldcrestcroft/Routing.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("versions of any bytes survive encoding and decoding")
{
  const std::vector<VersionList> lists{
    VersionList(), VersionList({ "" }), VersionList({ "v1.2", "v1" }),
    VersionList({ "3:a", std::string("\0\n:", 3), "" })
  };
  for (const auto& list : lists) {
    CHECK(VersionList::Decode(list.Encode()) == list);
  }
}

TEST_CASE("a row that is not a list of versions is not read as one")
{
  for (const auto* text : { "x", "3", "3:ab", ":a", "-1:a", "1:a7", "9999:a",
                            "99999999999999999999:a" }) {
    CAPTURE(text);
    CHECK_FALSE(VersionList::Decode(text));
  }
}

TEST_CASE("the base version stays first when lists are joined")
{
  const VersionList list({ "v1", "v2" });
  CHECK(list.Union(VersionList({ "v3", "v1" })) ==
        VersionList({ "v1", "v2", "v3" }));
  CHECK(list.Union(VersionList({ "v3" })).IsBase("v1"));
  CHECK(list.Without("v1").IsBase("v2"));
  CHECK_FALSE(VersionList().IsBase(""));
}

} // namespace testing
