#pragma once

#include <mutex>
#include <string>

namespace standins {

/** \brief What a stand-in does wrong at present; set by POST /faults. */
struct Faults
{
  /** The process dies at a request whose body contains this. */
  std::string crashOn_;
  /** Requests are taken and never answered. */
  bool hang_ = false;
  /** Answers carry another attempt's id. */
  bool foreign_ = false;
  /** Answers stop half-way. */
  bool truncate_ = false;
  /** Everything is refused with 503, and nothing done. */
  bool down_ = false;
  /** Requests take effect, and their connection closes without an answer. */
  bool loseAnswers_ = false;
  /** Replies say that the server is leaving. */
  bool leaving_ = false;
  /** Added to each answer's time. */
  int delayMilliseconds_ = 0;
  /** Connections with a smaller number are silent for good. */
  std::size_t silentBelow_ = 0;
};

/** \brief Reads a POST /faults body; absent keys keep their value. */
auto ApplyFaults(const std::string& aBody, std::size_t aNextConnection,
                 Faults& aFaults) -> void;

/** \brief Faults shared by the threads of a stand-in. */
class FaultSwitches
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
