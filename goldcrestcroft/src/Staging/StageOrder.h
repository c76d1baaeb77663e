#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief All pieces of one stage of one request, asked for together. */
struct StageOrder
{
  /** Unique at the host that collects pieces. */
  std::uint64_t id_ = 0;
  std::string requestId_;
  std::string service_;
  std::uint32_t stage_ = 0;
  std::vector<std::uint32_t> pieces_;
  /** For a stage that needs no results of others; else inputs_ is given. */
  std::string key_;
  std::vector<std::string> inputs_;
  /** Size of one result, in bytes. */
  double resultBytes_ = 0.0;
  /** When the request is of no use any more. */
  TimePoint deadline_;
  /** When these pieces should be done for the request to meet its
   * objective. */
  TimePoint dueAt_;
  int rank_ = 0;
  /** Zone whose engines should make the pieces, if any. */
  std::string zone_;

  auto operator<=>(const StageOrder&) const = default;
};

} // namespace goldcrestcroft
