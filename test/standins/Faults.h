#pragma once

#include <mutex>
#include <string>

namespace standins {

/** \brief Faults that a stand-in currently injects; set by POST /faults. */
struct Faults
{
  /** The process exits on a request whose body contains this text; never if
   * empty. */
  std::string crashOn_;
  /** Requests are accepted and never answered. */
  bool hang_ = false;
  /** Responses carry another attempt's id. */
  bool foreign_ = false;
  /** Responses are truncated half-way. */
  bool truncate_ = false;
  /** All requests are refused with 503 without being run. */
  bool down_ = false;
  /** Requests take effect, but the connection is closed without a response. */
  bool loseAnswers_ = false;
  /** Responses advertise that the server is draining. */
  bool leaving_ = false;
  /** Delay before each request is handled. */
  int delayMilliseconds_ = 0;
  /** Connections with a smaller number are never answered again. */
  std::size_t silentBelow_ = 0;
};

/** \brief Applies the body of POST /faults; absent keys keep their value. */
auto ApplyFaults(const std::string& aBody, std::size_t aNextConnection,
                 Faults& aFaults) -> void;

/** \brief Faults shared by the threads of a stand-in. */
class SharedFaults
{
public:
  [[nodiscard]] auto Get() const -> Faults
  {
    const std::lock_guard lock(mutex_);
    return faults_;
  }
  auto Set(const std::string& aBody, std::size_t aNextConnection) -> void
  {
    const std::lock_guard lock(mutex_);
    ApplyFaults(aBody, aNextConnection, faults_);
  }

private:
  mutable std::mutex mutex_;
  Faults faults_;
};

} // namespace standins
