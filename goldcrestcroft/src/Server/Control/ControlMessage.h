#pragma once

#include "../../../Policy.h"
#include "../../Observability/Span.h"
#include "../Http/CallerResponseWriter.h"

#include <variant>

namespace goldcrestcroft {

/** \brief Load of this host, to be sent with the next heartbeat. */
struct LoadExported
{
  HostLoad load_;
};

/** \brief State of a backend server as observed in an exchange with it. */
struct ServerObserved
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

/** \brief Quarantine updates that originate on this host, to be sent to all
 * peers immediately. */
struct QuarantineUpdatesIssued
{
  std::vector<QuarantineUpdate> updates_;
};

/** \brief Backend servers that this host reserves for suspected requests. */
struct ServersReserved
{
  std::vector<ServerId> servers_;
};

/** \brief Patch submitted by an operator. The control thread must send the
 * reply. */
struct PatchSubmitted
{
  VersionNumber base_ = 0;
  std::string author_;
  std::string operations_;
  RequestId request_;
  CallerResponseWriter reply_;
};

/** \brief Request of an operator for the patches after a version. The control
 * thread must send the reply. */
struct HistoryRequested
{
  VersionNumber after_ = 0;
  RequestId request_;
  CallerResponseWriter reply_;
};

/** \brief Finished spans, to be exported to the trace collector. */
struct SpansEnded
{
  std::vector<Span> spans_;
};

using ControlMessage =
  std::variant<LoadExported, ServerObserved, QuarantineUpdatesIssued,
               ServersReserved, PatchSubmitted, HistoryRequested, SpansEnded>;

} // namespace goldcrestcroft
