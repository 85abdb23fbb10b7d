#pragma once

#include "coordination/idempotencykey.h"
#include "coordination/ledger.h"
#include "coordination/rumour.h"
#include "main/settings.h"
#include "transport/httpserver.h"

#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** A caller that waits for the outcome of a one-time request that another arrival runs. */
struct OneTimeWaiter
{
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
};

/**
 * The one-time requests that this node answers for: those under the keys that this start minted, and those that leaving nodes handed to
 * it. Thread-safe; its state stands in shards by key.
 */
class OneTimeRequests
{
public:
    /** The references must outlive it. */
    OneTimeRequests(NodeId self, Incarnation incarnation, const Settings &settings, const Clock &clock);
    ~OneTimeRequests();

    /** A fresh idempotency key that only this start of this node runs. */
    std::string mintKey();
    /** Whether this node answers for @p key. */
    bool holds(const IdempotencyKey &key) const;
    /** Decides on an arrival; on WaitForFirst the waiter is answered by the one that runs, or dropped when its caller leaves. */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &requestHash, OneTimeWaiter waiter);
    /** False when it must not be sent. */
    bool markSent(const IdempotencyKey &key);
    /** These return the arrivals that waited for the outcome. */
    std::vector<OneTimeWaiter> complete(const IdempotencyKey &key, const StoredAnswer &answer);
    std::vector<OneTimeWaiter> fail(const IdempotencyKey &key);

    /** Shutdown: keys that this node has not seen yet are refused as not run. */
    void stopAccepting();
    /** Shutdown: nothing runs any more; returns all that a successor must know. Ledgers that come later are refused. */
    std::vector<SealedLedger> seal();
    /**
     * Takes a batch of a leaving node's ledger. Returns whether it was the last one and the ledger is held now. Errors: BadRequest,
     * Draining, LedgerFull.
     */
    Result<bool> receiveBatch(const std::string &bytes, HandOffFact *fact);

    /** Which nodes may answer for a key that this one does not hold, as the fleet tells. */
    void learn(const HandOffFact &fact);
    std::vector<NodeId> successors(const IdempotencyKey &key) const;

    void tick();
    /** Requests remembered now, the inherited ones included. */
    std::size_t size() const;
    std::size_t bytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
