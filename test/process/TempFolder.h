#pragma once

#include <string>

namespace testing {

/** \brief A folder of its own for a test's files, gone at its end; it stays if
 * the test is broken off. */
class TempFolder
{
public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder&) = delete;
  auto operator=(const TempFolder&) -> TempFolder& = delete;

  [[nodiscard]] auto Path() const -> const std::string& { return path_; }
  /** \brief It stays in any case. */
  auto Keep() -> void { kept_ = true; }

private:
  std::string path_;
  bool kept_ = false;
};

} // namespace testing
