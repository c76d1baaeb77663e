#pragma once

/** \brief Who is there: entry hosts by gossip, backend servers by three
 * sources, and leases. */

#include "src/Membership/FailureDetector.h"
#include "src/Membership/Lease.h"
#include "src/Membership/PeerTable.h"
#include "src/Membership/ServerDirectory.h"
