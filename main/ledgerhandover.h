#pragma once

#include "coordination/ledger.h"
#include "state/fleetview.h"
#include "transport/peers.h"

#include <optional>
#include <vector>

namespace ApricotStep
{

/** The name of the node RPC part that receives ledgers. */
inline constexpr const char *LedgerPart = "ledger";

/** The nodes that may receive the ledgers of @p self, best first. The order differs per leaving node, which spreads the ledgers. */
std::vector<NodeView> successorsFor(const NodeId &self, const FleetView &fleet);

/**
 * Sends @p ledgers to the first of @p candidates that accepts them all and returns its ID. Returns nothing if none did: the outcomes of
 * this node's one-time requests are then unknown once it has ended. Blocks, so it must not be called on the RPC thread.
 */
std::optional<NodeId> handOverLedgers(Peers &peers, const std::vector<SealedLedger> &ledgers, const std::vector<NodeView> &candidates);

} // namespace ApricotStep
