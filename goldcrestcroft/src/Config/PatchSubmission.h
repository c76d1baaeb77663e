#pragma once

#include "ConfigVersion.h"

#include <optional>

namespace goldcrestcroft {

/** \brief One operator's patch on its way into the table.
 *
 * The row of the next number is inserted only if absent, so exactly one of
 * several racing patches gets it. A write whose answer is lost is settled by
 * reading the row back and comparing the author. */
class PatchSubmission
{
public:
  enum class Step
  {
    /** Insert Row() under number Patch().number_ if that row is absent. */
    Insert,
    /** Read the row of that number. */
    ReadBack,
    Accepted,
    /** Another patch has the number. */
    Refused,
    /** The table did not answer in time; the patch may yet take effect. */
    Undecided
  };

  struct Options
  {
    /** Reads and repeated inserts before giving up. */
    int maxAttempts_ = 8;
  };

  PatchSubmission(ConfigPatch aPatch, Options aOptions)
    : patch_(std::move(aPatch))
    , attemptsLeft_(aOptions.maxAttempts_)
  {
  }

  [[nodiscard]] auto Next() const -> Step { return step_; }
  [[nodiscard]] auto Patch() const -> const ConfigPatch& { return patch_; }
  /** \brief The patch that holds the number, once Refused. */
  [[nodiscard]] auto Winner() const -> const std::optional<ConfigPatch>&
  {
    return winner_;
  }

  /** \brief The insert took effect. */
  auto OnInserted() -> void { step_ = Step::Accepted; }
  /** \brief The number is taken, by this row. */
  auto OnRow(const ConfigPatch& aRow) -> void;
  /** \brief The row was read and is absent. */
  auto OnAbsent() -> void { Retry(Step::Insert); }
  /** \brief The answer to an insert or a read was lost or refused. */
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
