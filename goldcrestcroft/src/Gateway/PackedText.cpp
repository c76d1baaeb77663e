#include "PackedText.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace goldcrestcroft {

namespace {

namespace zlib = boost::beast::zlib;

/** The length precedes the deflated bytes, least significant byte first. */
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

auto Parameters(std::string_view aFrom, char* aTo, std::size_t aCapacity)
  -> zlib::z_params
{
  zlib::z_params parameters;
  parameters.next_in = aFrom.data();
  parameters.avail_in = aFrom.size();
  parameters.next_out = aTo;
  parameters.avail_out = aCapacity;
  return parameters;
}

auto ReadLength(std::string_view aBytes) -> std::size_t
{
  std::size_t length = 0;
  for (auto i = kLengthBytes; i > 0; --i) {
    length =
      (length << kBitsPerByte) | static_cast<unsigned char>(aBytes[i - 1]);
  }
  return length;
}

} // namespace

auto Pack(std::string_view aText) -> std::string
{
  zlib::deflate_stream stream;
  std::string packed(kLengthBytes + stream.upper_bound(aText.size()), '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    packed[i] = static_cast<char>(aText.size() >> (kBitsPerByte * i));
  }
  auto parameters = Parameters(aText, packed.data() + kLengthBytes,
                               packed.size() - kLengthBytes);
  boost::system::error_code error; // The buffer is large enough for any text.
  stream.write(parameters, zlib::Flush::finish, error);
  packed.resize(kLengthBytes + parameters.total_out);
  return packed;
}

auto Unpack(std::string_view aPacked, std::size_t aMaxBytes)
  -> Result<std::string>
{
  const auto malformed = [] {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = "compressed text from a peer is malformed",
                  .remedy_ = "run the same release on all entry hosts" });
  };
  if (aPacked.size() < kLengthBytes || ReadLength(aPacked) > aMaxBytes) {
    return malformed();
  }
  std::string text(ReadLength(aPacked), '\0');
  auto parameters =
    Parameters(aPacked.substr(kLengthBytes), text.data(), text.size());
  zlib::inflate_stream stream;
  boost::system::error_code error;
  stream.write(parameters, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream ||
      parameters.total_out != text.size()) {
    return malformed();
  }
  return text;
}

} // namespace goldcrestcroft
