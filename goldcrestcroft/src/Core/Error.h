#pragma once

#include <boost/leaf.hpp>

#include <compare>
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

} // namespace goldcrestcroft
