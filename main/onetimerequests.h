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

/** A caller that repeated a one-time request and waits for the outcome of the run in progress. */
struct OneTimeWaiter
{
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
};

/**
 * The one-time requests that this node is responsible for: those with keys minted by this incarnation, and those that leaving nodes handed
 * over. Thread-safe; its own ledger is sharded by key.
 */
class OneTimeRequests
{
public:
    /** The references must outlive it. */
    OneTimeRequests(NodeId self, Incarnation incarnation, const Settings &settings, const Clock &clock);
    ~OneTimeRequests();

    /** Mints an idempotency key whose request only this incarnation of this node runs. */
    std::string mintKey();
    /** Whether this node is responsible for @p key. */
    bool holds(const IdempotencyKey &key) const;
    /** Decides what to do with a request. On WaitForFirst, @p waiter is kept until the run in progress ends or the caller disconnects. */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &requestHash, OneTimeWaiter waiter);
    /** Records that the request is about to be sent. Returns false if it must not be sent. */
    bool markSent(const IdempotencyKey &key);
    /** These return the waiters for the outcome, which the caller must answer. */
    std::vector<OneTimeWaiter> complete(const IdempotencyKey &key, const StoredAnswer &answer);
    std::vector<OneTimeWaiter> fail(const IdempotencyKey &key);

    /** Shutdown: requests with keys that were not seen before are refused as not run. */
    void stopAccepting();
    /** Shutdown: no request runs from now on. Returns the ledgers for a successor; ledgers received later are refused. */
    std::vector<SealedLedger> seal();
    /**
     * Receives a batch of a leaving node's ledger. Returns whether it was the last batch; this node is then responsible for the ledger, and
     * @p fact is set. Errors: BadRequest, Draining, LedgerFull.
     */
    Result<bool> receiveBatch(const std::string &bytes, HandOffFact *fact);

    /** Records that a ledger was handed over, as announced in the fleet. */
    void learn(const HandOffFact &fact);
    /** The nodes that may be responsible for @p key after a handover. */
    std::vector<NodeId> successors(const IdempotencyKey &key) const;

    void tick();
    /** The number of requests in the ledgers, including inherited ones. */
    std::size_t size() const;
    std::size_t bytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
