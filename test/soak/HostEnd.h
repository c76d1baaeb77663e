#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <csignal>
#include <optional>
#include <string>

namespace soak {

/** \brief Whether somebody listens at the address. */
inline auto IsOpen(const std::string& aAddress) -> bool
{
  goldcrestcroft::asio::io_context context;
  goldcrestcroft::Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(goldcrestcroft::ParseTcpEndpoint(aAddress), error);
  return !error;
}

/** \brief How a process that got SIGTERM ended, and what it had done before. */
struct HostEnd
{
  /** Below 0 by a signal. */
  int code_ = 0;
  /** A port of it was open when SIGTERM was sent. */
  bool wasOpen_ = false;
  /** It has written a line, or part of one. */
  bool hasSpoken_ = false;

  /** \brief Whether it never came to serve: the signal met the program while
   * it was loaded, when none can hold signals back, and nothing was lost. */
  [[nodiscard]] auto IsBeforeServing() const -> bool
  {
    return code_ == -SIGTERM && !wasOpen_ && !hasSpoken_;
  }
  /** \brief What is wrong with it, if anything. */
  [[nodiscard]] auto Problem() const -> std::optional<std::string>
  {
    if (code_ == 0 || IsBeforeServing()) {
      return {};
    }
    return "ends after SIGTERM with code " + std::to_string(code_);
  }
};

} // namespace soak
