#pragma once

/** \brief Cluster membership: entry hosts by gossip, backend servers from
 * three sources, leases, and the choice of the hosts that read the tables
 * of the store. */

#include "src/Membership/FailureDetector.h"
#include "src/Membership/FetchPlan.h"
#include "src/Membership/Lease.h"
#include "src/Membership/PeerTable.h"
#include "src/Membership/ServerDirectory.h"
#include "src/Membership/TableWatch.h"
#include "src/Membership/ViewConfirmation.h"
