#pragma once

#include "HttpClient.h"

namespace goldcrestcroft {

/** \brief Makes one call and waits for its reply. */
auto CallAndWait(HttpRequest aRequest) -> HttpReply;

/** \brief The whole text of a file; fails with NotFound. */
auto ReadFile(const std::string& aName) -> Result<std::string>;

} // namespace goldcrestcroft
