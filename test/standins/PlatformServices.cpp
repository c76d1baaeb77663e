#include "Service.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <vector>

namespace standins {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

class ObjectStandin : public Service
{
public:
  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults&) -> void override
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.method_ == "PUT") {
      objects_[aRequest.path_] = aRequest.body_;
      aReply.Send({ .body_ = "{}" });
      return;
    }
    const auto found = objects_.find(aRequest.path_);
    if (found == objects_.end()) {
      aReply.Send({ .status_ = 404, .body_ = "{}" });
    } else {
      aReply.Send({ .body_ = found->second });
    }
  }

private:
  std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

/** \brief Lists the members with a configurable lag. */
class MemberStandin : public Service
{
public:
  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults&) -> void override
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.method_ == "POST") {
      const auto body = json::parse(aRequest.body_);
      lag_ = std::chrono::milliseconds(body.value("lag_ms", lag_.count()));
      if (body.contains("members")) {
        history_.emplace_back(Clock::now(), body["members"]);
      }
      aReply.Send({ .body_ = "{}" });
      return;
    }
    auto members = json::array();
    for (const auto& [since, list] : history_) {
      if (Clock::now() - since >= lag_) {
        members = list;
      }
    }
    aReply.Send({ .body_ = json{ { "members", members } }.dump() });
  }

private:
  std::mutex mutex_;
  std::chrono::milliseconds lag_{ 0 };
  std::vector<std::pair<Clock::time_point, json>> history_;
};

/** \brief A trace collector that counts the spans it receives by name. */
class TraceCollectorStandin : public Service
{
public:
  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults&) -> void override
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.path_ == "/stats") {
      aReply.Send({ .body_ = json(spans_).dump() });
      return;
    }
    const auto body = json::parse(aRequest.body_);
    for (const auto& resource : body.at("resourceSpans")) {
      for (const auto& scope : resource.at("scopeSpans")) {
        for (const auto& span : scope.at("spans")) {
          ++spans_[span.at("name")];
        }
      }
    }
    aReply.Send({ .body_ = "{}" });
  }

private:
  std::mutex mutex_;
  std::map<std::string, int> spans_;
};

} // namespace

auto MakeObjectService() -> std::unique_ptr<Service>
{
  return std::make_unique<ObjectStandin>();
}

auto MakeMemberService() -> std::unique_ptr<Service>
{
  return std::make_unique<MemberStandin>();
}

auto MakeTraceCollectorService() -> std::unique_ptr<Service>
{
  return std::make_unique<TraceCollectorStandin>();
}

} // namespace standins
