#pragma once

#include "../Routing/Route.h"

#include <algorithm>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief The stages of one request: what may start, what each needs, and
 * which results are needed no more.
 *
 * A stage with no pieces is left out; its followers then need what it would
 * have needed. */
class StageGraph
{
public:
  StageGraph(const std::vector<RouteStage>& aStages,
             const std::vector<std::uint32_t>& aPieceCounts);

  /** \brief Stages to start now: their inputs are made, and so is every stage
   * with more stages in a row to the end. Each is returned once. */
  auto TakeReady() -> std::vector<std::size_t>;
  /** \brief Pieces of the stage that have no result yet. */
  [[nodiscard]] auto MissingPieces(std::size_t aStage) const
    -> std::vector<std::uint32_t>;
  [[nodiscard]] auto PiecesOf(std::size_t aStage) const -> std::size_t
  {
    return stages_[aStage].handles_.size();
  }
  /** \brief Handles of all pieces of all stages that aStage needs. */
  [[nodiscard]] auto InputsOf(std::size_t aStage) const
    -> std::vector<std::string>;
  /** \brief Whether the stage has pieces and has to wait for others. */
  [[nodiscard]] auto IsToCome(std::size_t aStage) const -> bool;
  /** \brief Whether the stage is left out, made, or all its pieces are being
   * made. */
  [[nodiscard]] auto IsAtWork(std::size_t aStage) const -> bool
  {
    return stages_[aStage].HasFetched();
  }
  /** \brief Whether the stage is made from the request's key. */
  [[nodiscard]] auto StartsFromKey(std::size_t aStage) const -> bool
  {
    return stages_[aStage].after_.empty();
  }

  auto OnMade(std::size_t aStage, std::uint32_t aPiece, std::string aHandle)
    -> void;
  /** \brief An engine works on the piece: it has fetched its inputs. */
  auto OnBegun(std::size_t aStage, std::uint32_t aPiece) -> void;
  /** \brief Inputs of the stage are gone: it and what it needs run again. */
  auto OnInputsGone(std::size_t aStage) -> void;
  /** \brief Nothing is being made any more: stages that are not made may start
   * again. */
  auto OnCancelled() -> void;
  /** \brief Results of the last stages are gone. */
  auto OnFinalInputsGone() -> void;

  [[nodiscard]] auto IsDone() const -> bool;
  /** \brief Handles of all pieces of the stages that no other follows. */
  [[nodiscard]] auto FinalInputs() const -> std::vector<std::string>;
  /** \brief Results, with the index of their stage, that all followers have
   * fetched; each is returned once. */
  auto TakeNeedless() -> std::vector<std::pair<std::size_t, std::string>>;
  /** \brief All results not returned by TakeNeedless yet. */
  auto TakeAll() -> std::vector<std::pair<std::size_t, std::string>>;
  /** \brief The most stages in a row from aStage to the end, itself
   * included. */
  [[nodiscard]] auto DepthFrom(std::size_t aStage) const -> std::size_t;

private:
  struct Stage
  {
    std::vector<std::size_t> after_;
    std::vector<std::string> handles_;
    std::vector<bool> begun_;
    std::size_t made_ = 0;
    bool started_ = false;
    bool released_ = false;
    bool followed_ = false;

    [[nodiscard]] auto IsMade() const -> bool
    {
      return made_ == handles_.size();
    }
    /** \brief Whether no piece needs the stage's inputs any more. */
    [[nodiscard]] auto HasFetched() const -> bool
    {
      return std::find(begun_.begin(), begun_.end(), false) == begun_.end();
    }
  };

  [[nodiscard]] auto IsReady(std::size_t aStage) const -> bool;
  [[nodiscard]] auto IsEarly(std::size_t aStage) const -> bool;
  auto Reset(std::size_t aStage) -> void;
  auto TakeHandles(std::size_t aStage,
                   std::vector<std::pair<std::size_t, std::string>>& aInto)
    -> void;

  std::vector<Stage> stages_;
};

} // namespace goldcrestcroft
