#pragma once

#include "../Routing/Route.h"

#include <algorithm>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Dependency graph of the stages of one request: which stages may
 * start, the inputs of each, and which results can be released.
 *
 * A stage without pieces is skipped; its successors inherit its
 * dependencies. */
class StageGraph
{
public:
  StageGraph(const std::vector<RouteStage>& aStages,
             const std::vector<std::uint32_t>& aPieceCounts);

  /** \brief Returns the stages to start now: their inputs are produced, and so
   * is every stage with a longer chain to the end. Each is returned once. */
  auto TakeReady() -> std::vector<std::size_t>;
  /** \brief Pieces of the stage that have no result yet. */
  [[nodiscard]] auto MissingPieces(std::size_t aStage) const
    -> std::vector<std::uint32_t>;
  [[nodiscard]] auto PiecesOf(std::size_t aStage) const -> std::size_t
  {
    return stages_[aStage].handles_.size();
  }
  /** \brief Handles of all pieces of all stages that aStage depends on. */
  [[nodiscard]] auto InputsOf(std::size_t aStage) const
    -> std::vector<std::string>;
  /** \brief Whether the stage has pieces and still waits for other stages. */
  [[nodiscard]] auto IsPending(std::size_t aStage) const -> bool;
  /** \brief Whether the stage is skipped, or all its pieces are running or
   * produced. */
  [[nodiscard]] auto IsUnderway(std::size_t aStage) const -> bool
  {
    return stages_[aStage].HasFetchedInputs();
  }
  /** \brief Whether the input of the stage is the request's key. */
  [[nodiscard]] auto StartsFromKey(std::size_t aStage) const -> bool
  {
    return stages_[aStage].after_.empty();
  }

  auto OnProduced(std::size_t aStage, std::uint32_t aPiece, std::string aHandle)
    -> void;
  /** \brief An engine works on the piece, so it has fetched the inputs. */
  auto OnBegun(std::size_t aStage, std::uint32_t aPiece) -> void;
  /** \brief Inputs of the stage were lost: the stage and its dependencies run
   * again. */
  auto OnInputsLost(std::size_t aStage) -> void;
  /** \brief All running pieces were cancelled: unfinished stages may start
   * again. */
  auto OnCancelled() -> void;
  /** \brief Results of the final stages were lost; these stages run again. */
  auto OnFinalInputsLost() -> void;

  [[nodiscard]] auto IsDone() const -> bool;
  /** \brief Handles of all pieces of the stages without successors. */
  [[nodiscard]] auto FinalInputs() const -> std::vector<std::string>;
  /** \brief Returns the results that all successors have fetched, with the
   * index of their stage; each is returned once. */
  auto TakeUnneeded() -> std::vector<std::pair<std::size_t, std::string>>;
  /** \brief Returns all results not returned by TakeUnneeded yet. */
  auto TakeAll() -> std::vector<std::pair<std::size_t, std::string>>;
  /** \brief Length of the longest chain of stages from aStage to the end,
   * aStage included. */
  [[nodiscard]] auto DepthFrom(std::size_t aStage) const -> std::size_t;

private:
  struct Stage
  {
    std::vector<std::size_t> after_;
    std::vector<std::string> handles_;
    std::vector<bool> begun_;
    std::size_t producedCount_ = 0;
    bool started_ = false;
    bool released_ = false;
    bool followed_ = false;

    [[nodiscard]] auto IsProduced() const -> bool
    {
      return producedCount_ == handles_.size();
    }
    /** \brief Whether no piece still needs the stage's inputs. */
    [[nodiscard]] auto HasFetchedInputs() const -> bool
    {
      return std::find(begun_.begin(), begun_.end(), false) == begun_.end();
    }
  };

  [[nodiscard]] auto IsReady(std::size_t aStage) const -> bool;
  [[nodiscard]] auto ShouldDefer(std::size_t aStage) const -> bool;
  auto Reset(std::size_t aStage) -> void;
  auto TakeHandles(std::size_t aStage,
                   std::vector<std::pair<std::size_t, std::string>>& aInto)
    -> void;

  std::vector<Stage> stages_;
};

} // namespace goldcrestcroft
