#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/AnswerCopies.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("answers: a copy of an earlier answer is told by its handles")
{
  const auto made = [](const std::string& aHandle) {
    return PieceResult{ .end_ = PieceEnd::Made, .handle_ = aHandle };
  };
  const PieceResult failed{ .end_ = PieceEnd::Failed };
  AnswerCopies copies;
  CHECK_FALSE(copies.IsCopy({ made("a") }));
  copies.Add({ failed, made("a"), made("b") });
  copies.Add({ made("c") });
  CHECK(copies.IsCopy({ failed, made("a"), made("b") }));
  CHECK(copies.IsCopy({ made("c") }));
  CHECK_FALSE(copies.IsCopy({ made("d") }));
  CHECK_FALSE(copies.IsCopy({ failed }));
  CHECK_FALSE(AnswerCopies::IsTellable({ failed }));
  CHECK_FALSE(AnswerCopies::IsTellable({}));
  CHECK(AnswerCopies::IsTellable({ failed, made("a") }));
}

} // namespace testing
