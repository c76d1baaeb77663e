#pragma once

#include "../../../Policy.h"
#include "../../Observability/Span.h"
#include "../Http/CallerReply.h"

#include <variant>

namespace goldcrestcroft {

/** \brief This host's load, for the next heartbeat. */
struct LoadExported
{
  HostLoad load_;
};

/** \brief What an exchange taught of a backend server. */
struct ServerSeen
{
  enum class What
  {
    Leaving,
    Down,
    Up
  };
  ServerId server_;
  What what_ = What::Up;
};

/** \brief Verdicts made here, for all peers at once. */
struct PoisonFound
{
  std::vector<PoisonNews> news_;
};

/** \brief The servers that this host keeps free for suspects. */
struct ServersReserved
{
  std::vector<ServerId> servers_;
};

/** \brief An operator's patch; the reply is owed by the control thread. */
struct PatchSubmitted
{
  VersionNumber base_ = 0;
  std::string author_;
  std::string operations_;
  RequestId request_;
  CallerReply reply_;
};

/** \brief An operator asks for patches; the reply is owed. */
struct HistoryAsked
{
  VersionNumber after_ = 0;
  RequestId request_;
  CallerReply reply_;
};

/** \brief Spans for the collector. */
struct SpansEnded
{
  std::vector<Span> spans_;
};

using ControlMail =
  std::variant<LoadExported, ServerSeen, PoisonFound, ServersReserved,
               PatchSubmitted, HistoryAsked, SpansEnded>;

} // namespace goldcrestcroft
