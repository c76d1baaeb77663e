#include "../Core/ObjectReader.h"
#include "Configuration.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

using internal::ObjectReader;
using nlohmann::json;

constexpr unsigned kMaxSlots = 4096;
constexpr unsigned kMaxLicensedCopies = 100'000;
constexpr unsigned kMaxStages = 16;
constexpr unsigned kMaxCallMilliseconds = 600'000;
constexpr unsigned kDefaultExpectedMilliseconds = 5;
constexpr unsigned kDefaultSilenceMilliseconds = 1'000;
constexpr unsigned kDefaultDeadlineMilliseconds = 8'000;

auto DefaultPath(StageKind aKind) -> std::string
{
  switch (aKind) {
    case StageKind::Encode:
      return "/v1/embeddings";
    case StageKind::Retrieve:
      return "/v1/search";
    case StageKind::Rerank:
      return "/v1/rerank";
    case StageKind::Generate:
      return "/v1/completions";
    case StageKind::Call:
      break;
  }
  return "/v1/call";
}

auto Reader(const json& aObject, const std::string& aPath) -> ObjectReader
{
  return { aObject, aPath, ErrorKind::InvalidConfiguration };
}

template<typename Id>
auto IdsFrom(const std::vector<std::string>& aNames) -> std::vector<Id>
{
  std::vector<Id> ids;
  ids.reserve(aNames.size());
  for (const auto& name : aNames) {
    ids.push_back(Id{ name });
  }
  return ids;
}

auto ReadWorkspace(const std::string& aName, const json& aObject) -> Workspace
{
  auto reader = Reader(aObject, "workspaces." + aName);
  const auto weight = reader.InRange<double>("weight", 1.0, 0.001, 1000.0);
  reader.RejectUnknown();
  return { .id_ = { aName }, .weight_ = weight };
}

auto ReadServer(const std::string& aName, const std::string& aPool,
                const json& aObject) -> BackendServer
{
  auto reader = Reader(aObject, "pools." + aPool + ".servers." + aName);
  BackendServer server{
    .id_ = { aName },
    .pool_ = { aPool },
    .zone_ = { reader.Optional<std::string>("zone", "") },
    .address_ = reader.Required<std::string>("address"),
    .slots_ = reader.InRange<unsigned>("slots", 1, 1, kMaxSlots),
    .checksFencing_ = reader.Optional<bool>("checks_fencing", false),
  };
  reader.RejectUnknown();
  if (server.address_.find(':') == std::string::npos) {
    reader.Reject("address", "has no port", "write IP:PORT");
  }
  return server;
}

auto ReadPool(const std::string& aName, const json& aObject) -> Pool
{
  auto reader = Reader(aObject, "pools." + aName);
  const auto kind = StageKindFromString(reader.Required<std::string>("kind"));
  if (!kind) {
    reader.Reject("kind", "is not a stage kind",
                  "use encode, retrieve, rerank, generate or call");
  }
  using Milliseconds = std::chrono::milliseconds;
  Pool pool{
    .id_ = { aName },
    .kind_ = *kind,
    .path_ = reader.Optional<std::string>("path", DefaultPath(*kind)),
    .idempotent_ = reader.Optional<bool>("idempotent", true),
    .licensedCopies_ =
      reader.InRange<unsigned>("licensed_copies", 0, 0, kMaxLicensedCopies),
    .expected_ = Milliseconds(reader.InRange<unsigned>(
      "expected_ms", kDefaultExpectedMilliseconds, 1, kMaxCallMilliseconds)),
    .silence_ = Milliseconds(reader.InRange<unsigned>(
      "silence_ms", kDefaultSilenceMilliseconds, 10, kMaxCallMilliseconds)),
    .lendsTo_ = IdsFrom<PoolId>(
      reader.Optional<std::vector<std::string>>("lends_to", {})),
  };
  for (const auto& [id, server] : reader.Child("servers").items()) {
    pool.servers_.push_back(ReadServer(id, aName, server));
  }
  reader.RejectUnknown();
  if (pool.servers_.size() > pool.licensedCopies_) {
    reader.Reject("servers",
                  fmt::format("lists {} servers but licensed_copies is {}",
                              pool.servers_.size(), pool.licensedCopies_),
                  "raise licensed_copies or remove servers");
  }
  return pool;
}

auto ReadStage(const std::string& aPath, const json& aObject) -> Stage
{
  auto reader = Reader(aObject, aPath);
  const auto pool = reader.Required<std::string>("pool");
  const auto name = reader.Optional<std::string>("name", pool);
  reader.RejectUnknown();
  return { .name_ = name, .pool_ = { pool } };
}

auto ReadPipeline(const std::string& aName, const json& aObject) -> Pipeline
{
  const auto path = "pipelines." + aName;
  auto reader = Reader(aObject, path);
  const auto priority =
    PriorityFromString(reader.Optional<std::string>("priority", "normal"));
  if (!priority) {
    reader.Reject("priority", "is not a priority",
                  "use urgent, normal or draft");
  }
  Pipeline pipeline{
    .id_ = { aName },
    .workspaces_ = IdsFrom<WorkspaceId>(
      reader.Required<std::vector<std::string>>("workspaces")),
    .priority_ = *priority,
    .maxDeadline_ = std::chrono::milliseconds(
      reader.InRange<unsigned>("max_deadline_ms", kDefaultDeadlineMilliseconds,
                               1, kMaxCallMilliseconds)),
  };
  const auto& stages = reader.Child("stages");
  if (!stages.is_array() || stages.empty() || stages.size() > kMaxStages) {
    reader.Reject("stages", "is not a list of 1 to 16 stages",
                  "list the stages in their order");
  }
  for (std::size_t i = 0; i < stages.size(); ++i) {
    pipeline.stages_.push_back(
      ReadStage(fmt::format("{}.stages.{}", path, i), stages[i]));
  }
  reader.RejectUnknown();
  return pipeline;
}

[[noreturn]] auto RejectReference(const std::string& aPath,
                                  const std::string& aTarget,
                                  const std::string& aSection) -> void
{
  throw internal::ReadFailure{
    { .kind_ = ErrorKind::InvalidConfiguration,
      .message_ = fmt::format("'{}' names '{}', which is not in '{}'", aPath,
                              aTarget, aSection),
      .remedy_ = fmt::format("add it to '{}' or correct the name", aSection) }
  };
}

auto CheckReferences(const Configuration& aConfiguration) -> void
{
  for (const auto& pool : aConfiguration.Pools()) {
    for (const auto& borrower : pool.lendsTo_) {
      if (aConfiguration.FindPool(borrower) == nullptr) {
        RejectReference("pools." + pool.id_.value_ + ".lends_to",
                        borrower.value_, "pools");
      }
    }
  }
  for (const auto& pipeline : aConfiguration.Pipelines()) {
    const auto path = "pipelines." + pipeline.id_.value_;
    for (const auto& stage : pipeline.stages_) {
      if (aConfiguration.FindPool(stage.pool_) == nullptr) {
        RejectReference(path + ".stages", stage.pool_.value_, "pools");
      }
    }
    for (const auto& workspace : pipeline.workspaces_) {
      if (aConfiguration.FindWorkspace(workspace) == nullptr) {
        RejectReference(path + ".workspaces", workspace.value_, "workspaces");
      }
    }
  }
}

auto CheckServersUnique(const Configuration& aConfiguration) -> void
{
  std::set<std::string> seen;
  for (const auto& pool : aConfiguration.Pools()) {
    for (const auto& server : pool.servers_) {
      if (!seen.insert(server.id_.value_).second) {
        throw internal::ReadFailure{
          { .kind_ = ErrorKind::InvalidConfiguration,
            .message_ =
              fmt::format("server '{}' stands in two pools", server.id_.value_),
            .remedy_ = "give each backend server one pool; use lends_to to "
                       "share it" }
        };
      }
    }
  }
}

} // namespace

auto ParseConfiguration(const json& aDocument) -> Result<Configuration>
{
  return internal::ReadDocument([&] {
    auto reader = Reader(aDocument, "");
    Configuration::Options options;
    for (const auto& [name, object] : reader.Child("workspaces").items()) {
      options.workspaces_.push_back(ReadWorkspace(name, object));
    }
    for (const auto& [name, object] : reader.Child("pools").items()) {
      options.pools_.push_back(ReadPool(name, object));
    }
    for (const auto& [name, object] : reader.Child("pipelines").items()) {
      options.pipelines_.push_back(ReadPipeline(name, object));
    }
    reader.RejectUnknown();
    Configuration configuration(std::move(options));
    CheckReferences(configuration);
    CheckServersUnique(configuration);
    return configuration;
  });
}

} // namespace goldcrestcroft
