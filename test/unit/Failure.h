#pragma once

#include <doctest/doctest.h>
#include <goldcrestcroft/Core.h>

namespace testing {

/** \brief The value of a Result; fails the test if it is an error. */
template<typename Try>
auto ValueOf(Try aTry) -> std::decay_t<decltype(aTry().value())>
{
  using Value = std::decay_t<decltype(aTry().value())>;
  return goldcrestcroft::Handle(aTry, [](const goldcrestcroft::Error& aError) {
    FAIL(aError.message_);
    return Value{};
  });
}

/** \brief The Error of a Result; fails the test if it is a value. */
template<typename Try>
auto FailureOfResult(Try aTry) -> goldcrestcroft::Error
{
  return goldcrestcroft::Handle(
    [&]() -> goldcrestcroft::Result<goldcrestcroft::Error> {
      BOOST_LEAF_CHECK(aTry());
      FAIL("did not fail");
      return goldcrestcroft::Error{};
    },
    [](const goldcrestcroft::Error& aError) { return aError; });
}

} // namespace testing
