#include "Measures.h"
#include "Timing.h"

#include <goldcrestcroft/Config.h>
#include <spdlog/fmt/fmt.h>

namespace bench {

using namespace goldcrestcroft;

namespace {

auto Document(int aEngines, int aWorkspaces) -> std::string
{
  auto text = std::string(R"({"workspaces":{)");
  for (auto i = 0; i < aWorkspaces; ++i) {
    text += fmt::format(R"({}"w{}":{{"weight":2}})", i == 0 ? "" : ",", i);
  }
  text += R"(},"pools":{)";
  const auto pools = std::max(1, aEngines / 600);
  for (auto pool = 0; pool < pools; ++pool) {
    const auto engines = aEngines / pools;
    text += fmt::format(
      R"({}"p{}":{{"kind":"generate","licensed_copies":{},"servers":{{)",
      pool == 0 ? "" : ",", pool, engines);
    for (auto i = 0; i < engines; ++i) {
      text += fmt::format(
        R"({}"p{}-{}":{{"address":"10.0.0.1:7001","zone":"z{}","slots":8}})",
        i == 0 ? "" : ",", pool, i, i % 13);
    }
    text += "}}";
  }
  text +=
    R"(},"pipelines":{"p":{"workspaces":["w0"],"stages":[{"pool":"p0"}]}}})";
  return text;
}

auto MakeConfig(int aEngines, int aWorkspaces) -> ConfigVersionPtr
{
  return Handle(
    [&] {
      return ConfigVersion::FromDocument(1, Document(aEngines, aWorkspaces));
    },
    [](const Error& aError) -> ConfigVersionPtr {
      std::fprintf(stderr, "%s\n", aError.message_.c_str());
      std::exit(1);
    });
}

} // namespace

auto MeasureConfig(MeasureTable& aTable, int aEngines, int aWorkspaces) -> void
{
  const auto size =
    fmt::format("{} engines, {} workspaces", aEngines, aWorkspaces);
  const auto before = HeapBytes();
  const auto config = MakeConfig(aEngines, aWorkspaces);
  aTable.Add("configuration", size, "memory", (HeapBytes() - before) / 1e6,
             "MB");
  aTable.Add("configuration", size, "document",
             static_cast<double>(config->Document().size()) / 1e3, "KB");
  const ConfigPatch patch{
    .number_ = 2,
    .author_ = "operator@host-001-1-1",
    .operations_ =
      R"([{"op":"replace","path":"/workspaces/w0/weight","value":3}])"
  };
  aTable.Add("configuration", size, "applying one patch", MicrosecondsOf([&] {
               Handle([&] { return config->Apply(patch); },
                      [](const Error&) { return ConfigVersionPtr(); });
             }),
             "us");
}

} // namespace bench
