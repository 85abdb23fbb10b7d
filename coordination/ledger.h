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

/** The stored answer to a one-time request. */
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /** SHA-256 in hexadecimal digits of a body that was too large to keep; empty when the body is here. */
    std::string droppedHash;
    /** Size of that body. */
    std::size_t droppedBytes = 0;
};

/** Run the request now; the ledger holds the key as accepted. */
struct RunNow
{
};
/** The first arrival is still running; the ledger hands out its outcome later. */
struct WaitForFirst
{
};
/** The first arrival ended: this is its answer. */
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

/** One sent one-time request as it is handed to a successor. Those that were never sent are left out: they did not run. */
struct LedgerRecord
{
    std::uint64_t counter = 0;
    std::string bodyHash;
    /** Unset when the request was sent and its outcome is not known. */
    bool isAnswered = false;
    StoredAnswer answer;
};

/** All that one start of a node knows of its one-time requests after it runs none any more. */
struct SealedLedger
{
    NodeId node;
    Incarnation incarnation;
    /** On that start's steady clock; it means something only beside the mint times of its own keys. */
    Time sealedAt;
    Duration lifetime;
    std::vector<LedgerRecord> records;
};

/** Memory that a ledger may take. */
struct LedgerMemoryLimits
{
    std::size_t total = 32U << 20U;
    /** An answer with a longer body is stored as its status, hash and size. */
    std::size_t answer = 16U << 10U;
};

/**
 * Which one-time requests this start of this node has accepted, and how they ended.
 *
 * A one-time request that ran twice shows as a doubled payment at the plain service. The ledger prevents it because only the node and
 * incarnation that minted the key may run it, the first arrival is recorded before anything is sent, and an entry is kept until the
 * key is too old to be accepted at all. Not thread-safe; the caller holds the shard's lock.
 *
 * Load: a flood of one-time requests, or of large answers to them. Without a bound the node's memory would end, and with it the memory of
 * every payment; dropping entries instead would let their repeats run twice. So room for the largest answer that is kept is set aside
 * before a request runs, and one without room is refused as not run.
 */
class Ledger
{
public:
    /** @p lifetime: how long a key is good for; @p capacity: entries kept at most, at least 1. */
    Ledger(Duration lifetime, std::size_t capacity, LedgerMemoryLimits limits = {});
    ~Ledger();

    /** Decides on an arrival under @p key with a body of hash @p bodyHash at steady time @p now. */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &bodyHash, Time now);
    /** The request left for the upstream: from here on it may have run. Returns false when it must not be sent. */
    bool markSent(const IdempotencyKey &key);
    /** It ended with an answer of the upstream. */
    void complete(const IdempotencyKey &key, StoredAnswer answer);
    /** It ended without: forgotten when it was never sent, remembered as of unknown outcome otherwise. */
    void fail(const IdempotencyKey &key);
    /** Drops the entries whose keys have expired. Nothing unexpired is ever dropped. */
    void expire(Time now);

    /** From here on a key that is not here is refused as not run; those in progress go on. */
    void stopAccepting();
    /**
     * From here on nothing is sent any more: what was accepted and not sent has not run and never will. Appends what was sent to
     * @p records, for the successor.
     */
    void seal(std::vector<LedgerRecord> &records);

    std::size_t size() const;
    /** Memory charged, room set aside for answers included. */
    std::size_t bytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The ledger of a node that has left, as its successor answers from it. It never runs anything. */
class InheritedLedger
{
public:
    /** @p now: this node's steady clock when the ledger came. */
    InheritedLedger(SealedLedger ledger, Time now);
    ~InheritedLedger();
    InheritedLedger(InheritedLedger &&) noexcept;
    InheritedLedger &operator=(InheritedLedger &&) noexcept;

    /**
     * Decides on an arrival. A key that is not here was never sent and never will be: the refusal is KeyRequired, so that the caller
     * gets a fresh key. The way here took time that is not counted, so a key may live that much longer, never shorter.
     */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &bodyHash, Time now) const;
    /** Every key of that start has expired. */
    bool isOver(Time now) const;
    /** For the next successor. */
    SealedLedger handOver(Time now) const;
    std::size_t size() const;
    std::size_t bytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
