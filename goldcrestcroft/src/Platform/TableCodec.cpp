#include "TableCodec.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

template<typename Decode>
auto DecodeBody(const std::string& aBody, Decode&& aDecode)
  -> Result<decltype(aDecode(json()))>
{
  try {
    return aDecode(json::parse(aBody));
  } catch (const json::exception& failure) {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = std::string("table service body unreadable: ") +
                              failure.what(),
                  .remedy_ = "check the table service's address and version" });
  }
}

auto ToJson(const Row& aRow) -> json
{
  return { { "table", aRow.key_.table_ },
           { "key", aRow.key_.key_ },
           { "value", aRow.value_ },
           { "version", aRow.version_ } };
}

auto RowKeyFrom(const json& aObject) -> RowKey
{
  return { .table_ = aObject.at("table"), .key_ = aObject.at("key") };
}

auto RowsFrom(const json& aList) -> std::vector<Row>
{
  std::vector<Row> rows;
  for (const auto& item : aList) {
    rows.push_back({ .key_ = RowKeyFrom(item),
                     .value_ = item.at("value"),
                     .version_ = item.at("version") });
  }
  return rows;
}

auto ToJson(const std::vector<Row>& aRows) -> json
{
  auto list = json::array();
  for (const auto& row : aRows) {
    list.push_back(ToJson(row));
  }
  return list;
}

} // namespace

auto EncodeWrites(const std::vector<RowWrite>& aWrites) -> std::string
{
  auto list = json::array();
  for (const auto& write : aWrites) {
    json item{ { "table", write.key_.table_ }, { "key", write.key_.key_ } };
    if (write.value_) {
      item["value"] = *write.value_;
    }
    if (write.expected_) {
      item["if_version"] = *write.expected_;
    }
    if (write.expiresAfterSeconds_ != 0) {
      item["expires_after_s"] = write.expiresAfterSeconds_;
    }
    list.push_back(std::move(item));
  }
  return json{ { "writes", std::move(list) } }.dump();
}

auto DecodeWrites(const std::string& aBody) -> Result<std::vector<RowWrite>>
{
  return DecodeBody(aBody, [](const json& aDocument) {
    std::vector<RowWrite> writes;
    for (const auto& item : aDocument.at("writes")) {
      RowWrite write{ .key_ = RowKeyFrom(item) };
      if (item.contains("value")) {
        write.value_ = item.at("value").get<std::string>();
      }
      if (item.contains("if_version")) {
        write.expected_ = item.at("if_version").get<RowVersion>();
      }
      write.expiresAfterSeconds_ = item.value("expires_after_s", 0ULL);
      writes.push_back(std::move(write));
    }
    return writes;
  });
}

auto EncodeKeys(const std::vector<RowKey>& aKeys) -> std::string
{
  auto list = json::array();
  for (const auto& key : aKeys) {
    list.push_back({ { "table", key.table_ }, { "key", key.key_ } });
  }
  return json{ { "keys", std::move(list) } }.dump();
}

auto DecodeKeys(const std::string& aBody) -> Result<std::vector<RowKey>>
{
  return DecodeBody(aBody, [](const json& aDocument) {
    std::vector<RowKey> keys;
    for (const auto& item : aDocument.at("keys")) {
      keys.push_back(RowKeyFrom(item));
    }
    return keys;
  });
}

auto EncodeReply(const TransactReply& aReply) -> std::string
{
  return json{
    { "applied", aReply.status_ == TableStatus::Done },
    { "versions", aReply.versions_ },
    { "conflicts", ToJson(aReply.conflicts_) }
  }.dump();
}

auto DecodeTransactReply(const std::string& aBody) -> Result<TransactReply>
{
  return DecodeBody(aBody, [](const json& aDocument) {
    return TransactReply{ .status_ = aDocument.at("applied").get<bool>()
                                       ? TableStatus::Done
                                       : TableStatus::Conflict,
                          .versions_ = aDocument.at("versions"),
                          .conflicts_ = RowsFrom(aDocument.at("conflicts")) };
  });
}

auto EncodeReply(const ReadReply& aReply) -> std::string
{
  return json{ { "rows", ToJson(aReply.rows_) } }.dump();
}

auto DecodeReadReply(const std::string& aBody) -> Result<ReadReply>
{
  return DecodeBody(aBody, [](const json& aDocument) {
    return ReadReply{ .status_ = TableStatus::Done,
                      .rows_ = RowsFrom(aDocument.at("rows")) };
  });
}

} // namespace goldcrestcroft
