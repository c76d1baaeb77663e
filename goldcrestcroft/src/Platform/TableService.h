#pragma once

#include "RowWrite.h"
#include "TableReply.h"

#include <concepts>
#include <functional>

namespace goldcrestcroft {

using TransactHandler = std::function<void(const TransactReply&)>;
using ReadHandler = std::function<void(const ReadReply&)>;

/** \brief The platform's transactional table service.
 *
 * Each handler is called exactly once, after the call returned, on the thread
 * that polls the service. */
template<typename T>
concept TableService = requires(T& aTable, std::vector<RowWrite> aWrites,
                                std::vector<RowKey> aKeys,
                                TransactHandler aOnWritten, ReadHandler aOnRead)
{
  aTable.Transact(std::move(aWrites), std::move(aOnWritten));
  aTable.Read(std::move(aKeys), std::move(aOnRead));
};

} // namespace goldcrestcroft
