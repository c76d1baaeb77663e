#pragma once

#include <boost/leaf.hpp>

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace goldcrestcroft {

/** \brief Machine-readable kind of an error. Error::message_ is for people. */
enum class ErrorKind
{
  InvalidArgument,
  InvalidSettings,
  InvalidConfiguration,
  Conflict,
  NotFound,
  Forbidden,
  TooLarge,
  Unavailable,
  Timeout,
  Protocol,
  Internal
};

/** \brief The kind as a stable lower-case word, as sent on the wire. */
auto ToString(ErrorKind aKind) -> std::string;

/** \brief An error with its cause and a remedy, both for people. */
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  std::string message_;
  std::string remedy_;

  auto operator<=>(const Error&) const = default;
};

/** \brief Either a value or a failure carrying an Error. \sa Fail, Handle */
template<typename T>
using Result = boost::leaf::result<T>;

/** \brief Creates a failed Result of any type. */
inline auto Fail(Error aError) -> boost::leaf::error_id
{
  return boost::leaf::new_error(std::move(aError));
}

/** \brief Runs aTry. On failure, passes the Error to aHandler, which returns
 * the value type of aTry. */
template<typename Try, typename Handler>
auto Handle(Try&& aTry, Handler&& aHandler)
{
  return boost::leaf::try_handle_all(
    std::forward<Try>(aTry),
    [&](const Error& aError) { return aHandler(aError); },
    [&] { return aHandler(Error{ .message_ = "unidentified failure" }); });
}

/** \brief Runs aTry, which returns a Result of a value. On failure, fails with
 * the Error that aChange makes of the original one. */
template<typename Try, typename Change>
auto ChangeError(Try&& aTry, Change&& aChange) -> decltype(aTry())
{
  using Value = std::decay_t<decltype(aTry().value())>;
  std::optional<Error> changed;
  auto value = Handle(
    [&]() -> Result<std::optional<Value>> {
      BOOST_LEAF_AUTO(result, aTry());
      return std::optional<Value>(std::move(result));
    },
    [&](const Error& aError) -> std::optional<Value> {
      changed = aChange(aError);
      return std::nullopt;
    });
  // An error that is created inside of a handler is lost together with the
  // scope of that handler.
  if (changed) {
    return Fail(std::move(*changed));
  }
  return std::move(*value);
}

} // namespace goldcrestcroft
