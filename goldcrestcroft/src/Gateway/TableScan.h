#pragma once

#include "MetadataStore.h"

#include <functional>
#include <map>
#include <optional>

namespace goldcrestcroft {

/** \brief Reads a whole table of the store, page by page.
 *
 * A failed call does not lose the pages before it: the scan goes on from there.
 * Only rows of interest are held, however many the table has. */
class TableScan
{
public:
  struct Options
  {
    /** Returns whether the row is of interest; may clear its value. */
    std::function<bool(StoreRow& aRow)> keep_ = [](StoreRow&) { return true; };
    /** Limit on the keys and values that are held. */
    std::size_t maxBytes_ = 16U << 20U;
    /** Limit on the pages of a table. */
    std::size_t maxPages_ = 4096;
    /** Largest number of rows of a page that the store sends. */
    std::size_t maxPageRows_ = 500;
  };

  explicit TableScan(Options aOptions)
    : options_(std::move(aOptions))
    , pageRows_(options_.maxPageRows_)
  {
  }

  /** \brief The page to be read next. */
  [[nodiscard]] auto Next() const -> PageRange
  {
    return { .from_ = from_, .maxRows_ = pageRows_ };
  }
  /** \brief Call with the reply to a read of Next(). Returns the whole table,
   * as of the version of its first page, or the failure of the read, or none if
   * further pages are to be read. */
  auto OnPage(StoreReply aPage) -> std::optional<StoreReply>;
  /** \brief Number of rows read so far, of interest or not. */
  [[nodiscard]] auto RowsRead() const -> std::size_t { return rowsRead_; }
  [[nodiscard]] auto RowsKept() const -> std::size_t { return rowsKept_; }
  [[nodiscard]] auto PagesRead() const -> std::size_t { return pagesRead_; }

private:
  auto Add(StoreRow aRow) -> void;
  auto Complete() -> StoreReply;
  /** \brief Handles a failed call; returns it with a reason that names the
   * page. */
  auto OnFailure(StoreReply aReply) -> StoreReply;
  /** \brief Starts over; returns a failure with the reason. */
  auto StartOver(std::string aReason) -> StoreReply;
  [[nodiscard]] auto Position() const -> std::string;

  Options options_;
  std::map<std::string, StoreRow> rows_;
  std::optional<StoreVersion> version_;
  std::string from_;
  /** Where the page before the next one began. */
  std::string previousFrom_;
  std::size_t pageRows_;
  std::size_t bytes_ = 0;
  std::size_t rowsRead_ = 0;
  std::size_t rowsKept_ = 0;
  std::size_t pagesRead_ = 0;
};

/** \brief Reads what the scan still lacks of the table. Ends with the whole
 * table, or with the first failed call. */
auto ReadTable(MetadataStore& aStore, StoreTable aTable, TableScan& aScan)
  -> Task<StoreReply>;

} // namespace goldcrestcroft
