#pragma once

#include "../../Core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief What a request with a prompt asks of a model engine. */
struct PromptWork
{
  /** \brief A part that the prompt shares with others. */
  struct SharedPart
  {
    std::uint64_t fingerprint_ = 0;
    std::uint32_t tokens_ = 0;

    auto operator<=>(const SharedPart&) const = default;
  };

  /** The service of the model engines. */
  std::string service_;
  /** In the order of the prompt; an engine reuses a part only if it has cached
   * all parts before it. */
  std::vector<SharedPart> sharedParts_;
  /** Tokens that no engine has cached. */
  std::uint32_t ownTokens_ = 0;
  std::uint32_t outputTokens_ = 0;
  /** The engine that all hosts choose for the shared parts by hash; empty if
   * there is none. */
  std::string home_;
  /** Zone in which most results of the stages lie. */
  std::string zone_;

  auto operator<=>(const PromptWork&) const = default;
};

} // namespace goldcrestcroft
