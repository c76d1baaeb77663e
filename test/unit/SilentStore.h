#pragma once

#include <goldcrestcroft/src/Gateway/MetadataStore.h>

namespace testing {

/** \brief A store whose calls end without a reply. */
class SilentStore : public goldcrestcroft::MetadataStore
{
public:
  using Reply = goldcrestcroft::Task<goldcrestcroft::StoreReply>;

  auto ReadPage(goldcrestcroft::StoreTable, goldcrestcroft::PageRange)
    -> Reply override
  {
    co_return goldcrestcroft::StoreReply{};
  }
  auto Follow(goldcrestcroft::StoreTable, const goldcrestcroft::StoreVersion&,
              goldcrestcroft::Duration) -> Reply override
  {
    co_return goldcrestcroft::StoreReply{};
  }
  auto Abandon(goldcrestcroft::StoreTable) -> void override {}
  auto Write(goldcrestcroft::StoreTable, std::string,
             std::optional<std::string>) -> Reply override
  {
    co_return goldcrestcroft::StoreReply{};
  }
  auto ReadRow(goldcrestcroft::StoreTable, std::string) -> Reply override
  {
    co_return goldcrestcroft::StoreReply{};
  }
  auto Change(goldcrestcroft::StoreTable,
              std::vector<goldcrestcroft::RowChange>) -> Reply override
  {
    co_return goldcrestcroft::StoreReply{};
  }
};

} // namespace testing
