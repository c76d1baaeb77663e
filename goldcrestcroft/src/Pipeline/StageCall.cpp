#include "StageCall.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

auto PromptFor(const StageData& aData) -> std::string
{
  auto prompt = "Query: " + aData.input_.text_ + "\n\nContext:\n";
  for (const auto& document : aData.documents_) {
    prompt += "- " + document + "\n";
  }
  return prompt;
}

[[noreturn]] auto Reject(const char* aProblem) -> void
{
  throw std::runtime_error(aProblem);
}

auto ReadEmbedding(const json& aResponse, StageData& aData) -> void
{
  const auto& embedding = aResponse.at("data").at(0).at("embedding");
  if (!embedding.is_array() || embedding.empty()) {
    Reject("the embedding is empty");
  }
  aData.embedding_ = embedding.dump();
}

auto ReadHits(const json& aResponse, StageData& aData) -> void
{
  std::vector<std::string> documents;
  for (const auto& hit : aResponse.at("hits")) {
    documents.push_back(hit.at("text"));
  }
  if (documents.size() > kRetrievedDocuments) {
    Reject("more hits than were asked for");
  }
  aData.documents_ = std::move(documents);
}

auto ReadRanking(const json& aResponse, StageData& aData) -> void
{
  std::vector<std::string> best;
  for (const auto& result : aResponse.at("results")) {
    best.push_back(aData.documents_.at(result.at("index").get<std::size_t>()));
  }
  if (best.size() !=
      std::min<std::size_t>(aData.documents_.size(), kRerankedDocuments)) {
    Reject("the ranking is short");
  }
  aData.documents_ = std::move(best);
}

} // namespace

auto BuildStageBody(StageKind aKind, const StageData& aData) -> std::string
{
  switch (aKind) {
    case StageKind::Encode:
      return json{ { "input", aData.input_.text_ } }.dump();
    case StageKind::Retrieve:
      return R"({"k":)" + std::to_string(kRetrievedDocuments) +
             R"(,"vector":)" +
             (aData.embedding_.empty() ? "[]" : aData.embedding_) + "}";
    case StageKind::Rerank:
      return json{
        { "query", aData.input_.text_ },
        { "documents", aData.documents_ },
        { "top_n", kRerankedDocuments }
      }.dump();
    case StageKind::Generate: {
      json body{ { "prompt", PromptFor(aData) },
                 { "max_tokens", aData.input_.maxTokens_ },
                 { "stream", true } };
      if (!aData.text_.empty()) {
        body["resume_text"] = aData.text_;
      }
      return body.dump();
    }
    case StageKind::Call:
      break;
  }
  return json{ { "input", aData.input_.text_ } }.dump();
}

auto StageSize(StageKind aKind, const StageData& aData) -> double
{
  constexpr double kCharactersPerUnit = 100.0;
  switch (aKind) {
    case StageKind::Encode:
      return 1.0 + static_cast<double>(aData.input_.text_.size()) /
                     kCharactersPerUnit;
    case StageKind::Rerank:
      return 1.0 + static_cast<double>(aData.documents_.size());
    case StageKind::Generate:
      return 1.0 + static_cast<double>(aData.input_.maxTokens_);
    case StageKind::Retrieve:
    case StageKind::Call:
      break;
  }
  return 1.0;
}

auto ReadStageResponse(StageKind aKind, const std::string& aBody,
                       StageData& aData) -> Result<void>
{
  try {
    const auto response = json::parse(aBody);
    switch (aKind) {
      case StageKind::Encode:
        ReadEmbedding(response, aData);
        break;
      case StageKind::Retrieve:
        ReadHits(response, aData);
        break;
      case StageKind::Rerank:
        ReadRanking(response, aData);
        break;
      case StageKind::Call:
        aData.text_ = response.at("output").get<std::string>();
        break;
      case StageKind::Generate:
        Reject("a generate stage answers by a stream");
    }
    return {};
  } catch (const std::exception& failure) {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = std::string("a ") + std::string(ToString(aKind)) +
                              " answer is not whole: " + failure.what(),
                  .remedy_ = "look at the backend server's log" });
  }
}

} // namespace goldcrestcroft
