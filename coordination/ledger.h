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

/**
 * Which one-time requests this start of this node has accepted, and how they ended.
 *
 * A one-time request that ran twice shows as a doubled payment at the plain service. The ledger prevents it because only the node and
 * incarnation that minted the key may run it, the first arrival is recorded before anything is sent, and an entry is kept until the
 * key is too old to be accepted at all. Not thread-safe; the caller holds the shard's lock.
 */
class Ledger
{
public:
    /** @p lifetime: how long a key is good for; @p capacity: entries kept at most, at least 1. */
    Ledger(Duration lifetime, std::size_t capacity);
    ~Ledger();

    /** Decides on an arrival under @p key with a body of hash @p bodyHash at steady time @p now. */
    LedgerDecision accept(const IdempotencyKey &key, const std::string &bodyHash, Time now);
    /** The request left for the upstream: from here on it may have run. Returns false when the key is unknown: then do not send. */
    bool markSent(const IdempotencyKey &key);
    /** It ended with an answer of the upstream. */
    void complete(const IdempotencyKey &key, StoredAnswer answer);
    /** It ended without: forgotten when it was never sent, remembered as of unknown outcome otherwise. */
    void fail(const IdempotencyKey &key);
    /** Drops the entries whose keys have expired. Nothing unexpired is ever dropped. */
    void expire(Time now);
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
