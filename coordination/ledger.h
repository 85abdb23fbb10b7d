#pragma once

#include "coordination/idempotencykey.h"
#include "core/clock.h"
#include "core/errors.h"
#include "core/strongid.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

/** The stored answer of a one-time request. */
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /** SHA-256 in hexadecimal digits of a body that was too large to store; empty if the body is stored. */
    std::string droppedHash;
    /** Size of the body that was too large to store. */
    std::size_t droppedBytes = 0;
};

/** Run the request now; the ledger has recorded the key as accepted. */
struct RunNow
{
};
/** The first request with this key is still running; wait for its outcome. */
struct WaitForFirst
{
};
/** The first request with this key has ended with this answer. */
struct Replay
{
    StoredAnswer answer;
};
/** The request must not run. */
struct RefuseKey
{
    ErrorKind kind = ErrorKind::OutcomeUnknown;
};
using LedgerDecision = std::variant<RunNow, WaitForFirst, Replay, RefuseKey>;

/** A one-time request as handed over to a successor. Requests that were never sent did not run and are left out. */
struct LedgerRecord
{
    std::uint64_t counter = 0;
    std::string bodyHash;
    /** False if the request was sent and its outcome is unknown. */
    bool isAnswered = false;
    StoredAnswer answer;
};

/** The ledger of one incarnation of a node after it has stopped running one-time requests. */
struct SealedLedger
{
    NodeId node;
    Incarnation incarnation;
    /** On the steady clock of that incarnation; comparable only with the mint times of its own keys. */
    Time sealedAt;
    Duration lifetime;
    std::vector<LedgerRecord> records;
};

/** Memory limits of a ledger, in bytes. */
struct LedgerMemoryLimits
{
    std::size_t total = 32U << 20U;
    /** Of an answer with a longer body only the status, hash and size are stored. */
    std::size_t answer = 16U << 10U;
};

/**
 * Records which one-time requests this incarnation of the node has accepted, and their outcomes.
 *
 * A one-time request that runs twice causes, for example, a doubled payment. The ledger prevents this: only the node and incarnation that
 * issued the key may run the request, the first arrival is recorded before anything is sent, and an entry is kept until its key has
 * expired. Not thread-safe; the caller holds the shard's lock.
 *
 * The memory is bounded against a flood of one-time requests or of large answers. Without a bound the node would run out of memory and
 * lose the record of every payment; dropping entries instead would let repeated requests run twice. Memory for the largest stored answer
 * is therefore reserved before a request runs, and a request that does not fit is refused as not run.
 */
class Ledger
{
public:
    /** @p lifetime: how long a key is valid; @p capacity: the maximum number of entries, at least 1. */
    Ledger(Duration lifetime, std::size_t capacity, LedgerMemoryLimits limits = {});
    ~Ledger();

    /** Decides about a request with @p key and a body of hash @p bodyHash that arrives at steady time @p now. */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &bodyHash, Time now);
    /** Called right before the request is sent; from then on it may have run. Returns false if it must not be sent. */
    bool markSent(const IdempotencyKey &key);
    /** The request ended with an answer of the upstream. */
    void complete(const IdempotencyKey &key, StoredAnswer answer);
    /** The request ended without an answer: removes it if it was never sent, otherwise records its outcome as unknown. */
    void fail(const IdempotencyKey &key);
    /** Removes finished requests whose keys have expired. No entry is removed before its key expires. */
    void expire(Time now);

    /** Refuses requests with unknown keys as not run from now on; those in progress continue. */
    void stopAccepting();
    /**
     * Forbids sending from now on: requests that were accepted but not sent have not run and never will. Appends the requests that were
     * sent to @p records, for the successor.
     */
    void seal(std::vector<LedgerRecord> &records);

    std::size_t size() const;
    /** Memory charged to the entries, including the memory reserved for answers. */
    std::size_t bytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The ledger of a node that has left, which its successor uses to answer repeated requests. No request runs from it. */
class InheritedLedger
{
public:
    /** @p now: when the ledger was received, on this node's steady clock. */
    InheritedLedger(SealedLedger ledger, Time now);
    ~InheritedLedger();
    InheritedLedger(InheritedLedger &&) noexcept;
    InheritedLedger &operator=(InheritedLedger &&) noexcept;

    /**
     * Decides about a request. A request whose key is not in the ledger was never sent and never will be: it is refused with KeyRequired,
     * so that the caller gets a new key. The transfer time of the ledger is not counted, so a key may be valid that much longer, but
     * never shorter.
     */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &bodyHash, Time now) const;
    /** Returns whether all keys of that incarnation have expired. */
    bool isOver(Time now) const;
    /** Returns the ledger for the next successor. */
    SealedLedger handOver(Time now) const;
    std::size_t size() const;
    std::size_t bytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
