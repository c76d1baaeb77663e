#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/DuplicateResponseDetector.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "responses: a duplicate of an earlier response is recognized by its handles")
{
  const auto produced = [](const std::string& aHandle) {
    return PieceResult{ .end_ = PieceOutcome::Made, .handle_ = aHandle };
  };
  const PieceResult failed{ .end_ = PieceOutcome::Failed };
  DuplicateResponseDetector duplicates;
  CHECK_FALSE(duplicates.IsDuplicate({ produced("a") }));
  duplicates.Add({ failed, produced("a"), produced("b") });
  duplicates.Add({ produced("c") });
  CHECK(duplicates.IsDuplicate({ failed, produced("a"), produced("b") }));
  CHECK(duplicates.IsDuplicate({ produced("c") }));
  CHECK_FALSE(duplicates.IsDuplicate({ produced("d") }));
  CHECK_FALSE(duplicates.IsDuplicate({ failed }));
  CHECK_FALSE(DuplicateResponseDetector::IsRecognizable({ failed }));
  CHECK_FALSE(DuplicateResponseDetector::IsRecognizable({}));
  CHECK(DuplicateResponseDetector::IsRecognizable({ failed, produced("a") }));
}

} // namespace testing
