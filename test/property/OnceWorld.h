#pragma once

#include <goldcrestcroft/Once.h>

#include <optional>
#include <string>
#include <vector>

namespace testing {

using namespace goldcrestcroft;

/** \brief A part of the mechanism that a test disables. */
enum class Removed
{
  Nothing,
  /** A lost reply to an insert counts as success. */
  ReadBack,
  /** A taken row does not stop an attempt. */
  InsertCondition,
  /** An attempt takes over from a runner that is taken for gone. */
  RunnerProof,
  /** An attempt that releases the key does not check whose row it erases. */
  ReleaseCondition
};

/** \brief Simulates entry hosts, a table service and one key under a schedule
 * of faults.
 *
 * Each choice of the schedule picks one of the events that are possible
 * then: calls take effect late or never, replies get lost, hosts die,
 * pause, and are wrongly taken for gone. */
class OnceWorld
{
public:
  explicit OnceWorld(Removed aRemoved)
    : removed_(aRemoved)
  {
  }

  /** \brief Performs one event. */
  auto Step(unsigned aChoice) -> void;

  /** \brief The violation that was found, or an empty text. */
  [[nodiscard]] auto Violation() const -> const std::string&
  {
    return violation_;
  }
  [[nodiscard]] auto Runs() const -> int { return runs_; }
  [[nodiscard]] auto CompletedAnswers() const -> int { return completed_; }

private:
  enum class CallKind
  {
    Insert,
    Read,
    ReleaseKey,
    Record,
    Clean
  };
  struct Call
  {
    CallKind kind_;
    std::size_t submission_;
    std::optional<RowWrite> write_;
    bool applied_ = false;
    bool answered_ = false;
    TransactReply transact_;
    ReadReply read_;
    /** Number of runs of the key when the call took effect. */
    int runs_ = 0;
  };
  struct Submission
  {
    OnceExecution execution_;
    bool alive_ = true;
    bool waits_ = false;
    bool answerChecked_ = false;
    /** Number of runs of the key when the table service made its last reply. */
    int runsSeen_ = 0;
  };

  auto Submit() -> void;
  auto Issue(std::size_t aIndex) -> void;
  auto Apply(Call& aCall) -> void;
  auto Answer(Call& aCall) -> void;
  auto Lose(Call& aCall) -> void;
  auto Refuse(Call& aCall) -> void;
  auto OnRow(Submission& aSubmission, const Row& aRow) -> void;
  auto Act(std::size_t aIndex, unsigned aChoice) -> void;
  auto CheckAnswer(Submission& aSubmission) -> void;
  auto AdvanceTime(Duration aBy) -> void;

  Removed removed_;
  VirtualClock clock_;
  MemoryTable table_;
  std::vector<Submission> submissions_;
  std::vector<Call> calls_;
  int runs_ = 0;
  int completed_ = 0;
  std::string violation_;
};

} // namespace testing
