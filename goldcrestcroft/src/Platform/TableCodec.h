#pragma once

#include "../../Core.h"
#include "RowWrite.h"
#include "TableReply.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Encoders and decoders for the JSON bodies of the table service's
 * protocol, which docs/API.md describes.
 *
 * The decoders fail with Protocol on malformed text. */
auto EncodeWrites(const std::vector<RowWrite>& aWrites) -> std::string;
auto DecodeWrites(const std::string& aBody) -> Result<std::vector<RowWrite>>;
auto EncodeKeys(const std::vector<RowKey>& aKeys) -> std::string;
auto DecodeKeys(const std::string& aBody) -> Result<std::vector<RowKey>>;
auto EncodeReply(const TransactReply& aReply) -> std::string;
auto DecodeTransactReply(const std::string& aBody) -> Result<TransactReply>;
auto EncodeReply(const ReadReply& aReply) -> std::string;
auto DecodeReadReply(const std::string& aBody) -> Result<ReadReply>;

} // namespace goldcrestcroft
