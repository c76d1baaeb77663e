#include <doctest/doctest.h>
#include <goldcrestcroft/src/Core/TransferCoding.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("a body in another coding is not taken for one in chunks alone")
{
  for (const auto* value : { "chunked", "Chunked", "CHUNKED", " chunked\t",
                             "chunked,", ", chunked", " , chunked , " }) {
    CAPTURE(value);
    CHECK(IsChunkedOnly(value));
  }
  for (const auto* value :
       { "", " ", ",", "gzip", "identity", "chunked, gzip", "gzip, chunked",
         "chunked, chunked", "chunked;a=b", "chunked gzip", "chunke",
         "chunkedx", "x-chunked" }) {
    CAPTURE(value);
    CHECK_FALSE(IsChunkedOnly(value));
  }
}

} // namespace testing
