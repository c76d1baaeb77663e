#include "HopHeaders.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Hop-by-hop headers, which apply to a single connection only. */
constexpr http::field kHopByHop[] = {
  http::field::connection,
  http::field::keep_alive,
  http::field::proxy_connection,
  http::field::te,
  http::field::trailer,
  http::field::transfer_encoding,
  http::field::upgrade,
  http::field::content_length,
  http::field::expect,
  http::field::proxy_authorization,
  http::field::proxy_authenticate,
};

} // namespace

auto IsHopByHop(http::field aName) -> bool
{
  return std::find(std::begin(kHopByHop), std::end(kHopByHop), aName) !=
         std::end(kHopByHop);
}

auto IsNamed(const std::vector<std::string>& aNames, beast::string_view aName)
  -> bool
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const auto& aOther) {
    return beast::iequals(aOther, aName);
  });
}

} // namespace goldcrestcroft
