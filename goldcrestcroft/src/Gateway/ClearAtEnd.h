#pragma once

namespace goldcrestcroft {

/** \brief Clears a flag at the end of its scope, also if an exception ends
 * it. */
class ClearAtEnd
{
public:
  explicit ClearAtEnd(bool& aFlag)
    : flag_(aFlag)
  {
  }
  ClearAtEnd(const ClearAtEnd&) = delete;
  auto operator=(const ClearAtEnd&) -> ClearAtEnd& = delete;
  ~ClearAtEnd() { flag_ = false; }

private:
  bool& flag_;
};

} // namespace goldcrestcroft
