#pragma once

#include <string>

namespace testing {

/** \brief A temporary folder for the files of one test, removed at its end. It
 * is kept if the test ends by an exception. */
class TempFolder
{
public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder&) = delete;
  auto operator=(const TempFolder&) -> TempFolder& = delete;

  [[nodiscard]] auto Path() const -> const std::string& { return path_; }
  /** \brief Keeps the folder in any case. */
  auto Keep() -> void { kept_ = true; }

private:
  std::string path_;
  bool kept_ = false;
};

} // namespace testing
