#include "Service.h"
#include "TextModel.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <numeric>

namespace standins {

namespace {

using nlohmann::json;

/** \brief An encoder, retriever, reranker or plain service. */
class ComputeStandin : public Service
{
public:
  ComputeStandin(std::string aKind, ServiceOptions aOptions)
    : kind_(std::move(aKind))
    , options_(aOptions)
  {
  }

  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults& aFaults) -> void override
  {
    if (aRequest.path_ == "/counts") {
      const std::lock_guard lock(mutex_);
      aReply.Send({ .body_ = json(runs_).dump() });
      return;
    }
    const auto inFlight = ++inFlight_;
    ResponseOptions reply{
      .headers_ = { AttemptHeader(aRequest, aFaults),
                    "x-in-flight: " + std::to_string(inFlight) },
      .body_ = Compute(json::parse(aRequest.body_)).dump()
    };
    if (aFaults.leaving_) {
      reply.headers_.emplace_back("x-leaving: 1");
    }
    if (aFaults.truncate_) {
      reply.body_.resize(reply.body_.size() / 2);
    }
    if (options_.workMicroseconds_ < 1000) {
      --inFlight_;
      aReply.Send(reply);
      return;
    }
    timer_.After(
      std::chrono::milliseconds(options_.workMicroseconds_ / 1000),
      [this, reply,
       shared = std::make_shared<CallerResponseWriter>(std::move(aReply))] {
        --inFlight_;
        shared->Send(reply);
      });
  }

private:
  auto Compute(const json& aBody) -> json
  {
    if (kind_ == "encoder") {
      return { { "data", json::array({ { { "embedding",
                                           Embed(aBody.at("input")) } } }) } };
    }
    if (kind_ == "retriever") {
      return Search(aBody);
    }
    if (kind_ == "reranker") {
      return Rank(aBody);
    }
    const std::string input = aBody.at("input");
    const std::lock_guard lock(mutex_);
    ++runs_[input];
    return { { "output",
               "done " +
                 Complete("Query: " + input + "\n\nContext:\n", 2)[1] } };
  }

  static auto Order(const std::vector<double>& aScores)
    -> std::vector<std::size_t>
  {
    std::vector<std::size_t> order(aScores.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
      return aScores[aLeft] > aScores[aRight];
    });
    return order;
  }

  static auto Search(const json& aBody) -> json
  {
    static const auto kVectors = [] {
      std::vector<std::vector<double>> vectors;
      for (const auto& document : Corpus()) {
        vectors.push_back(Embed(document));
      }
      return vectors;
    }();
    const std::vector<double> query = aBody.at("vector");
    std::vector<double> scores;
    scores.reserve(kVectors.size());
    for (const auto& vector : kVectors) {
      scores.push_back(Cosine(query, vector));
    }
    auto hits = json::array();
    for (const auto index : Order(scores)) {
      if (hits.size() < aBody.at("k")) {
        hits.push_back(
          { { "text", Corpus()[index] }, { "score", scores[index] } });
      }
    }
    return { { "hits", hits } };
  }

  static auto Rank(const json& aBody) -> json
  {
    std::vector<double> scores;
    for (const auto& document : aBody.at("documents")) {
      scores.push_back(Overlap(aBody.at("query"), document));
    }
    auto results = json::array();
    for (const auto index : Order(scores)) {
      if (results.size() < aBody.at("top_n")) {
        results.push_back(
          { { "index", index }, { "relevance_score", scores[index] } });
      }
    }
    return { { "results", results } };
  }

  std::string kind_;
  ServiceOptions options_;
  std::atomic<int> inFlight_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  Timer timer_;
};

} // namespace

auto MakeComputeService(const std::string& aKind,
                        const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>
{
  return std::make_unique<ComputeStandin>(aKind, aOptions);
}

} // namespace standins
