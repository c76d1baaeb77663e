#include "MetadataStore.h"

namespace goldcrestcroft {

auto ToString(StoreTable aTable) -> std::string
{
  switch (aTable) {
    case StoreTable::Configuration:
      return "configuration";
    case StoreTable::Engines:
      return "engines";
    case StoreTable::HeldRequests:
      return "held_requests";
    case StoreTable::StreamVersions:
      return "stream_versions";
    case StoreTable::Streams:
      return "streams";
    case StoreTable::Hosts:
      break;
  }
  return "hosts";
}

} // namespace goldcrestcroft
