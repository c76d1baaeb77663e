#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <csignal>
#include <optional>
#include <string>

namespace soak {

/** \brief Whether the address accepts connections. */
inline auto IsOpen(const std::string& aAddress) -> bool
{
  goldcrestcroft::asio::io_context context;
  goldcrestcroft::Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(goldcrestcroft::ParseTcpEndpoint(aAddress), error);
  return !error;
}

/** \brief How a host process exited after SIGTERM, and what it had done until
 * then. */
struct HostExit
{
  /** Exit status; the negated signal number if a signal ended the process. */
  int code_ = 0;
  /** Whether one of its ports was open when SIGTERM was sent. */
  bool wasOpen_ = false;
  /** Whether it has written any output. */
  bool hasLogged_ = false;

  /** \brief Whether the process ended before it could serve. The signal arrived
   * while the program was being loaded, when no program can handle signals yet,
   * so no request was lost. */
  [[nodiscard]] auto EndedBeforeServing() const -> bool
  {
    return code_ == -SIGTERM && !wasOpen_ && !hasLogged_;
  }
  /** \brief Returns a description of the unexpected exit, if it is one. */
  [[nodiscard]] auto Problem() const -> std::optional<std::string>
  {
    if (code_ == 0 || EndedBeforeServing()) {
      return {};
    }
    return "ends after SIGTERM with code " + std::to_string(code_);
  }
};

} // namespace soak
