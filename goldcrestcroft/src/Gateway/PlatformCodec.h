#pragma once

#include "../../Engines.h"
#include "../../Routing.h"
#include "EngineLoadReport.h"
#include "HeaderNames.h"
#include "StageCallPiece.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief A request that the system itself sends to an engine. */
struct EngineCall
{
  std::string method_;
  std::string path_;
  std::string contentType_;
  std::string body_;
};

/** \brief Identity and addresses of an entry host, as it advertises them to the
 * other hosts. */
struct HostRecord
{
  std::string host_;
  std::string zone_;
  std::string callerAddress_;
  std::string peerAddress_;
  Incarnation incarnation_ = 0;

  auto operator<=>(const HostRecord&) const = default;
};

/** \brief Names, formats and calls of the platform that the system runs on.
 * Implemented outside the product; it contains no policy. */
class PlatformCodec
{
public:
  PlatformCodec() = default;
  PlatformCodec(const PlatformCodec&) = delete;
  auto operator=(const PlatformCodec&) -> PlatformCodec& = delete;
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual auto Headers() const -> const HeaderNames& = 0;

  /** \brief Fails with InvalidConfiguration if the text is not a configuration.
   */
  [[nodiscard]] virtual auto DecodeRouting(const std::string& aText) const
    -> Result<RoutingTable> = 0;
  /** \brief The availability zone whose evacuation a row of the table of the
   * configuration requests; none if the row is something else. */
  [[nodiscard]] virtual auto EvacuatedZone(std::string_view aKey) const
    -> std::optional<std::string> = 0;
  /** \brief Fails with Protocol if the entry does not describe a usable engine.
   */
  [[nodiscard]] virtual auto DecodeEngine(const std::string& aId,
                                          const std::string& aText) const
    -> Result<EngineEntry> = 0;
  [[nodiscard]] virtual auto EncodeHost(const HostRecord& aHost) const
    -> std::string = 0;
  [[nodiscard]] virtual auto DecodeHost(const std::string& aId,
                                        const std::string& aText) const
    -> Result<HostRecord> = 0;

  /** \brief Key and value of the store row for a suspected or quarantined
   * request. */
  [[nodiscard]] virtual auto EncodeSuspectNotice(const SuspectNotice& aNotice)
    const -> std::pair<std::string, std::string> = 0;
  /** \brief Fails with Protocol. */
  [[nodiscard]] virtual auto DecodeSuspectNotice(const std::string& aKey,
                                                 const std::string& aText) const
    -> Result<SuspectNotice> = 0;

  [[nodiscard]] virtual auto MakeStageCall(
    const std::vector<StageCallPiece>& aPieces) const -> EngineCall = 0;
  /** \brief One result for each piece, in order; fails with Protocol. */
  [[nodiscard]] virtual auto DecodeStageResponse(const std::string& aBody,
                                                 std::size_t aPieces) const
    -> Result<std::vector<PieceResult>> = 0;
  [[nodiscard]] virtual auto MakeRelease(
    const std::vector<std::string>& aHandles) const -> EngineCall = 0;

  /** \brief Address of the engine that produced a result. */
  [[nodiscard]] virtual auto ProducerOf(const std::string& aHandle) const
    -> std::string = 0;

  [[nodiscard]] virtual auto ReadPrompt(std::string_view aHeader) const
    -> std::vector<PromptPart> = 0;
  [[nodiscard]] virtual auto ReadPieceCounts(std::string_view aHeader) const
    -> std::vector<std::uint32_t> = 0;
  [[nodiscard]] virtual auto ReadLoad(std::string_view aHeader) const
    -> std::optional<EngineLoadReport> = 0;

  /** \brief Path of the directory, where callers look up the addresses to
   * connect to. */
  [[nodiscard]] virtual auto DirectoryPath() const -> std::string = 0;
  [[nodiscard]] virtual auto ReadyPath() const -> std::string = 0;
  [[nodiscard]] virtual auto EncodeDirectory(
    const std::vector<std::string>& aAddresses, Duration aLifetime) const
    -> std::string = 0;
  /** \brief The caller's zone in the query of a directory request, or "". */
  [[nodiscard]] virtual auto DirectoryZone(std::string_view aTarget) const
    -> std::string = 0;
};

} // namespace goldcrestcroft
