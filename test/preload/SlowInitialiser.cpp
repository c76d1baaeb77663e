#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>

namespace {

/** Runs with the initialisers of a program's libraries: creates the file named
 * by INITIALISER_MARK, then takes its time. */
[[gnu::constructor]] auto RunSlowly() -> void
{
  constexpr useconds_t kMicroseconds = 300'000;
  const auto* mark = std::getenv("INITIALISER_MARK");
  if (mark != nullptr) {
    close(open(mark, O_CREAT | O_WRONLY, 0600));
    usleep(kMicroseconds);
  }
}

} // namespace
