#pragma once

#include "ConfigVersion.h"

#include <optional>

namespace goldcrestcroft {

/** \brief State machine that submits one operator's patch to the table.
 *
 * The row of the next version number is inserted only if it is absent, so
 * exactly one of several concurrent patches is accepted. If the reply to a
 * write is lost, the row is read back and compared with the patch; the author
 * distinguishes it from other patches for the same number. */
class PatchSubmission
{
public:
  enum class Step
  {
    /** Insert Patch() as the row of Patch().number_ if that row is absent. */
    Insert,
    /** Read the row of Patch().number_. */
    ReadBack,
    Accepted,
    /** Another patch was accepted under this number. */
    Refused,
    /** The table did not reply in time; the patch may still take effect. */
    Undecided
  };

  struct Options
  {
    /** Maximum number of inserts and reads. */
    int maxAttempts_ = 8;
  };

  PatchSubmission(ConfigPatch aPatch, Options aOptions)
    : patch_(std::move(aPatch))
    , attemptsLeft_(aOptions.maxAttempts_)
  {
  }

  [[nodiscard]] auto Next() const -> Step { return step_; }
  [[nodiscard]] auto Patch() const -> const ConfigPatch& { return patch_; }
  /** \brief The patch that was accepted under this number, if Refused. */
  [[nodiscard]] auto Winner() const -> const std::optional<ConfigPatch>&
  {
    return winner_;
  }

  /** \brief The insert took effect. */
  auto OnInserted() -> void { step_ = Step::Accepted; }
  /** \brief The row of this number exists and contains aRow. */
  auto OnRow(const ConfigPatch& aRow) -> void;
  /** \brief The row was read back and is absent. */
  auto OnAbsent() -> void { Retry(Step::Insert); }
  /** \brief An insert or a read was refused, or its reply was lost. */
  auto OnLost() -> void { Retry(Step::ReadBack); }

private:
  auto Retry(Step aStep) -> void
  {
    step_ = --attemptsLeft_ > 0 ? aStep : Step::Undecided;
  }

  ConfigPatch patch_;
  Step step_ = Step::Insert;
  int attemptsLeft_;
  std::optional<ConfigPatch> winner_;
};

} // namespace goldcrestcroft
