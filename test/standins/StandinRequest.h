#pragma once

#include <goldcrestcroft/src/Server/Http/CallerResponseWriter.h>

#include <string>

namespace standins {

/** \brief A request to a stand-in. */
struct StandinRequest
{
  std::string method_;
  std::string path_;
  std::string body_;
  std::string attempt_;
  std::string priority_;
  /** The connection was silenced by Faults::silentBelow_ and must not be
   * answered. */
  bool silenced_ = false;
};

using goldcrestcroft::CallerResponseWriter;
using goldcrestcroft::ResponseOptions;

} // namespace standins
