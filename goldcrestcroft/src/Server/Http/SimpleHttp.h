#pragma once

#include "HttpClient.h"

namespace goldcrestcroft {

/** \brief Sends one request and blocks until its exchange ends. */
auto CallAndWait(HttpRequest aRequest) -> HttpResponse;

/** \brief Reads a file as a whole. Fails with NotFound. */
auto ReadFile(const std::string& aName) -> Result<std::string>;

} // namespace goldcrestcroft
