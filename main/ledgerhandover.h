#pragma once

#include "coordination/ledger.h"
#include "state/fleetview.h"
#include "transport/peers.h"

#include <optional>
#include <vector>

namespace ApricotStep
{

/** The part of node RPC under which ledgers are handed over. */
inline constexpr const char *LedgerPart = "ledger";

/** Nodes that may take the ledgers of @p self, best first: all nodes of the fleet spread those of many leaving ones. */
std::vector<NodeView> successorsFor(const NodeId &self, const FleetView &fleet);

/**
 * Hands @p ledgers to the first of @p candidates that takes them all; waits for that. Empty when none did: then the outcomes of this
 * node's one-time requests are unknown once it has ended. Not from the RPC's thread.
 */
std::optional<NodeId> handOverLedgers(Peers &peers, const std::vector<SealedLedger> &ledgers, const std::vector<NodeView> &candidates);

} // namespace ApricotStep
