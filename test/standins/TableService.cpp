#include "Service.h"

#include <goldcrestcroft/Platform.h>

#include <nlohmann/json.hpp>

#include <ctime>

namespace standins {

namespace {

using namespace goldcrestcroft;

class TableStandin : public Service
{
public:
  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults& aFaults) -> void override
  {
    if (aRequest.path_ == "/stats") {
      const std::lock_guard lock(mutex_);
      aReply.Send({ .body_ = nlohmann::json{ { "transactions", transactions_ },
                                             { "writes", writes_ },
                                             { "reads", reads_ },
                                             { "rows", table_.size() } }
                               .dump() });
      return;
    }
    const auto reply = Apply(aRequest);
    if (aFaults.loseAnswers_) {
      aReply.Socket()->Finish("", true);
      return;
    }
    aReply.Send(reply);
  }

private:
  auto Apply(const StandinRequest& aRequest) -> ResponseOptions
  {
    const std::lock_guard lock(mutex_);
    const auto now = static_cast<std::uint64_t>(std::time(nullptr));
    return Handle(
      [&]() -> Result<ResponseOptions> {
        if (aRequest.path_ == "/v1/transact") {
          BOOST_LEAF_AUTO(writes, DecodeWrites(aRequest.body_));
          ++transactions_;
          writes_ += writes.size();
          const auto reply = table_.Transact(writes, now);
          return ResponseOptions{ .status_ = reply.status_ == TableStatus::Done
                                               ? 200
                                               : 409,
                                  .body_ = EncodeReply(reply) };
        }
        BOOST_LEAF_AUTO(keys, DecodeKeys(aRequest.body_));
        ++reads_;
        return ResponseOptions{ .body_ = EncodeReply(table_.Read(keys, now)) };
      },
      [](const Error& aError) {
        return ResponseOptions{ .status_ = 400, .body_ = aError.message_ };
      });
  }

  std::mutex mutex_;
  MemoryTable table_;
  std::size_t transactions_ = 0;
  std::size_t writes_ = 0;
  std::size_t reads_ = 0;
};

} // namespace

auto MakeTableService() -> std::unique_ptr<Service>
{
  return std::make_unique<TableStandin>();
}

} // namespace standins
