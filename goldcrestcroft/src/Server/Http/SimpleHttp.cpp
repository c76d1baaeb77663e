#include "SimpleHttp.h"

#include <fstream>
#include <sstream>

namespace goldcrestcroft {

auto CallAndWait(HttpRequest aRequest) -> HttpResponse
{
  constexpr Duration kPoll = std::chrono::milliseconds{ 50 };
  HttpClient http({});
  HttpResponse response;
  auto ended = false;
  http.Send(std::move(aRequest),
            { .onEnd_ = [&](const HttpResponse& aResponse) {
              response = aResponse;
              ended = true;
            } });
  while (!ended) {
    http.Poll(kPoll, {});
  }
  return response;
}

auto ReadFile(const std::string& aName) -> Result<std::string>
{
  const std::ifstream file(aName);
  if (!file) {
    return Fail({ .kind_ = ErrorKind::NotFound,
                  .message_ = aName + ": cannot be read",
                  .remedy_ = "check the name and the permissions" });
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace goldcrestcroft
