#include "../Server/Load/LoadRun.h"
#include "Command.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <cstdio>

ABSL_DECLARE_FLAG(std::string, host);
ABSL_FLAG(std::string, requests, "examples/requests",
          "folder of request files to send in turn");
ABSL_FLAG(std::uint32_t, concurrency, 8, "requests under way at once");
ABSL_FLAG(double, rate, 0.0,
          "requests started a second; 0 keeps --concurrency under way");
ABSL_FLAG(std::uint64_t, count, 1000, "requests to send");
ABSL_FLAG(bool, verify, false,
          "insist on the digest that the stand-in engine puts into answers");
ABSL_FLAG(bool, print, false, "print each answer with its hops");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of hosts");

namespace goldcrestcroft {

auto RunLoad(const std::vector<std::string>&) -> int
{
  return Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(requests,
                      ReadLoadRequests(absl::GetFlag(FLAGS_requests)));
      LoadRun run({ .host_ = absl::GetFlag(FLAGS_host),
                    .requests_ = std::move(requests),
                    .concurrency_ = absl::GetFlag(FLAGS_concurrency),
                    .rate_ = absl::GetFlag(FLAGS_rate),
                    .count_ = absl::GetFlag(FLAGS_count),
                    .verify_ = absl::GetFlag(FLAGS_verify),
                    .print_ = absl::GetFlag(FLAGS_print),
                    .seed_ = absl::GetFlag(FLAGS_seed) });
      if (!run.Run()) {
        return Fail({ .kind_ = ErrorKind::Unavailable,
                      .message_ = "no entry host answers GET /v1/hosts",
                      .remedy_ = "name a running one with --host" });
      }
      return run.Report().AllSucceeded() ? 0 : 1;
    },
    [](const Error& aError) {
      std::fprintf(stderr, "goldcrestcroft: %s; %s\n", aError.message_.c_str(),
                   aError.remedy_.c_str());
      return 1;
    });
}

} // namespace goldcrestcroft
