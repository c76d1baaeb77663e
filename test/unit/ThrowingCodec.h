#pragma once

#include <platform/TableCodec.h>

#include <stdexcept>

namespace testing {

/** \brief Throws while a request is served, to simulate an unforeseen fault. */
class ThrowingCodec : public goldcrestcroft::PlatformCodec
{
public:
  /** \brief Makes Headers() throw as well, before a request is served. */
  auto FailFromNowOn() -> void { alwaysFails_ = true; }

  [[nodiscard]] auto ReadPrompt(std::string_view aHeader) const
    -> std::vector<goldcrestcroft::PromptPart> override
  {
    throw std::runtime_error("fault injected by the test at " +
                             std::string(aHeader));
  }

  [[nodiscard]] auto Headers() const
    -> const goldcrestcroft::HeaderNames& override
  {
    if (alwaysFails_) {
      throw std::runtime_error("fault injected by the test");
    }
    return codec_.Headers();
  }
  [[nodiscard]] auto DecodeRouting(const std::string& aText) const
    -> goldcrestcroft::Result<goldcrestcroft::RoutingTable> override
  {
    return codec_.DecodeRouting(aText);
  }
  [[nodiscard]] auto EvacuatedZone(std::string_view aKey) const
    -> std::optional<std::string> override
  {
    return codec_.EvacuatedZone(aKey);
  }
  [[nodiscard]] auto DecodeEngine(const std::string& aId,
                                  const std::string& aText) const
    -> goldcrestcroft::Result<goldcrestcroft::EngineEntry> override
  {
    return codec_.DecodeEngine(aId, aText);
  }
  [[nodiscard]] auto EncodeHost(const goldcrestcroft::HostRecord& aHost) const
    -> std::string override
  {
    return codec_.EncodeHost(aHost);
  }
  [[nodiscard]] auto DecodeHost(const std::string& aId,
                                const std::string& aText) const
    -> goldcrestcroft::Result<goldcrestcroft::HostRecord> override
  {
    return codec_.DecodeHost(aId, aText);
  }
  [[nodiscard]] auto EncodeSuspectNotice(
    const goldcrestcroft::SuspectNotice& aNotice) const
    -> std::pair<std::string, std::string> override
  {
    return codec_.EncodeSuspectNotice(aNotice);
  }
  [[nodiscard]] auto DecodeSuspectNotice(const std::string& aKey,
                                         const std::string& aText) const
    -> goldcrestcroft::Result<goldcrestcroft::SuspectNotice> override
  {
    return codec_.DecodeSuspectNotice(aKey, aText);
  }
  [[nodiscard]] auto MakeStageCall(
    const std::vector<goldcrestcroft::StageCallPiece>& aPieces) const
    -> goldcrestcroft::EngineCall override
  {
    return codec_.MakeStageCall(aPieces);
  }
  [[nodiscard]] auto DecodeStageResponse(const std::string& aBody,
                                         std::size_t aPieces) const
    -> goldcrestcroft::Result<std::vector<goldcrestcroft::PieceResult>> override
  {
    return codec_.DecodeStageResponse(aBody, aPieces);
  }
  [[nodiscard]] auto MakeRelease(const std::vector<std::string>& aHandles) const
    -> goldcrestcroft::EngineCall override
  {
    return codec_.MakeRelease(aHandles);
  }
  [[nodiscard]] auto ProducerOf(const std::string& aHandle) const
    -> std::string override
  {
    return codec_.ProducerOf(aHandle);
  }
  [[nodiscard]] auto ReadPieceCounts(std::string_view aHeader) const
    -> std::vector<std::uint32_t> override
  {
    return codec_.ReadPieceCounts(aHeader);
  }
  [[nodiscard]] auto ReadLoad(std::string_view aHeader) const
    -> std::optional<goldcrestcroft::EngineLoadReport> override
  {
    return codec_.ReadLoad(aHeader);
  }
  [[nodiscard]] auto DirectoryPath() const -> std::string override
  {
    return codec_.DirectoryPath();
  }
  [[nodiscard]] auto ReadyPath() const -> std::string override
  {
    return codec_.ReadyPath();
  }
  [[nodiscard]] auto EncodeDirectory(const std::vector<std::string>& aAddresses,
                                     goldcrestcroft::Duration aKeepFor) const
    -> std::string override
  {
    return codec_.EncodeDirectory(aAddresses, aKeepFor);
  }
  [[nodiscard]] auto DirectoryZone(std::string_view aTarget) const
    -> std::string override
  {
    return codec_.DirectoryZone(aTarget);
  }

private:
  platform::TableCodec codec_;
  bool alwaysFails_ = false;
};

} // namespace testing
