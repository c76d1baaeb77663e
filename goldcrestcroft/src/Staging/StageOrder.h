#pragma once

#include "../../Core.h"
#include "../Routing/PromptWork.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief All pieces of one stage of one request, requested together. */
struct StageOrder
{
  /** Unique at the batch coordinator. */
  std::uint64_t id_ = 0;
  std::string requestId_;
  std::string service_;
  std::uint32_t stage_ = 0;
  std::vector<std::uint32_t> pieces_;
  /** Input of a stage without dependencies; other stages set inputs_. */
  std::string key_;
  std::vector<std::string> inputs_;
  /** Size of one result, in bytes. */
  double resultBytes_ = 0.0;
  /** After this time the result is useless to the caller. */
  TimePoint deadline_;
  /** When these pieces have to be produced for the request to meet its
   * objective. */
  TimePoint dueAt_;
  int rank_ = 0;
  /** Zone whose engines should run the pieces, if any. */
  std::string zone_;
  /** Set in an order without pieces, which asks for the model engine of a
   * request; service_ is then the shard that assigns it. */
  std::optional<PromptWork> prompt_;

  auto operator<=>(const StageOrder&) const = default;
};

} // namespace goldcrestcroft
