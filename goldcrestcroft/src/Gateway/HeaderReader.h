#pragma once

#include "FramingLimits.h"
#include "Net.h"

#include <functional>

namespace goldcrestcroft {

using RequestParser = http::request_parser<http::string_body>;

/** \brief Result of reading the header of a request. */
struct HeaderRead
{
  boost::system::error_code error_;
  bool tooManyFields_ = false;
};

/** \brief Reads a part of the body of a request. Fails with header_limit if its
 * framing is too large. Adds the bytes that the parser took to aTaken. */
auto ReadSomeBody(Tcp::socket& aSocket, beast::flat_buffer& aBuffer,
                  RequestParser& aParser, std::size_t& aTaken)
  -> Task<boost::system::error_code>;

/** \brief Reads the header of a request. Stops before the fields are parsed if
 * there are more than aMaxFields; aOnBuffered is called with the capacity of
 * the buffer after each read, and ends the reading by returning false. */
auto ReadHeader(Tcp::socket& aSocket, beast::flat_buffer& aBuffer,
                RequestParser& aParser, std::size_t aMaxFields,
                std::function<bool(std::size_t)> aOnBuffered)
  -> Task<HeaderRead>;

} // namespace goldcrestcroft
