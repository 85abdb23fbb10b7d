#include "main/ledgerhandover.h"

#include "coordination/rendezvous.h"
#include "main/log.h"
#include "protocol/ledgercodec.h"

#include <absl/synchronization/notification.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::size_t BatchBytes = 512U << 10U;
// When a whole zone is lost, the remaining nodes should not be loaded with, say, a tenth attempt to hand over one node's ledger.
constexpr std::size_t MaxTries = 5;

bool sendAndWait(Peers &peers, const NodeView &node, const std::string &batch)
{
    absl::Notification done;
    bool isAccepted = false;
    peers.sendMessage(node.rpcAddress, LedgerPart, batch, [&](const Result<std::string> &answer) {
        isAccepted = answer.isOk();
        if (!isAccepted) {
            componentLogger("ledger")->warn("{} did not accept a ledger batch. {}", node.id.value(), answer.error().detail);
        }
        done.Notify();
    });
    done.WaitForNotification(); // The call has its own timeout.
    return isAccepted;
}

bool handOver(Peers &peers, const NodeView &node, const std::vector<SealedLedger> &ledgers)
{
    for (const SealedLedger &ledger : ledgers) {
        for (const std::string &batch : encodeLedger(ledger, BatchBytes)) {
            if (!sendAndWait(peers, node, batch)) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

std::vector<NodeView> successorsFor(const NodeId &self, const FleetView &fleet)
{
    std::vector<NodeView> nodes;
    for (const NodeView &node : fleet.nodes) {
        if (node.id != self && !node.rpcAddress.empty()) {
            nodes.push_back(node);
        }
    }
    std::sort(nodes.begin(), nodes.end(), [&](const NodeView &a, const NodeView &b) {
        return rendezvousScore(self.value(), a.id.value(), 1) > rendezvousScore(self.value(), b.id.value(), 1);
    });
    return nodes;
}

std::optional<NodeId> handOverLedgers(Peers &peers, const std::vector<SealedLedger> &ledgers, const std::vector<NodeView> &candidates)
{
    for (std::size_t i = 0; i < std::min(candidates.size(), MaxTries); ++i) {
        // A candidate that failed after accepting some batches does no harm: these records are true, and the next candidate may hold them
        // too.
        if (handOver(peers, candidates[i], ledgers)) {
            return candidates[i].id;
        }
    }
    return std::nullopt;
}

} // namespace ApricotStep
