#include "coordination/ledger.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Lifetime = Duration::seconds(60);

IdempotencyKey key(std::uint64_t counter)
{
    return { NodeId("n1"), Incarnation(5), Time(1000), counter };
}

template<typename T>
bool is(const LedgerDecision &decision)
{
    return std::holds_alternative<T>(decision);
}

bool isRefused(const LedgerDecision &decision, ErrorKind kind)
{
    const auto *refusal = std::get_if<RefuseKey>(&decision);
    return refusal != nullptr && refusal->kind == kind;
}

} // namespace

Test(ledger, aRepeatedRequestGetsTheFirstOutcome)
{
    // Guards against a payment that is charged twice when a caller loses its connection and sends it again with the same key.
    Ledger ledger(Lifetime, 10);
    cr_assert(is<RunNow>(ledger.accept(key(1), "h", Time(1001))));
    cr_assert(is<WaitForFirst>(ledger.accept(key(1), "h", Time(1002))));
    cr_assert(ledger.markSent(key(1)));
    cr_assert_not(ledger.markSent(key(1)), "an accepted key is sent once");
    ledger.complete(key(1), { 200, "text/plain", "receipt 1" });
    const auto replay = ledger.accept(key(1), "h", Time(1003));
    cr_assert(std::get<Replay>(replay).answer.body == "receipt 1");
}

Test(ledger, aSentRequestWithoutAnswerDoesNotRunAgain)
{
    // The connection to the payment service breaks after the request was sent. It may have run, so it must not run again.
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.markSent(key(1));
    ledger.fail(key(1));
    cr_assert(isRefused(ledger.accept(key(1), "h", Time(1002)), ErrorKind::OutcomeUnknown));
}

Test(ledger, aRequestThatWasNotSentMayRunLater)
{
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.fail(key(1));
    cr_assert(is<RunNow>(ledger.accept(key(1), "h", Time(1002))));
}

Test(ledger, aFullLedgerKeepsUnexpiredEntries)
{
    // A flood of one-time requests fills the ledger. Removing an old entry to make room would let its repeated request run twice.
    Ledger ledger(Lifetime, 1);
    ledger.accept(key(1), "h", Time(1001));
    cr_assert(isRefused(ledger.accept(key(2), "h", Time(1002)), ErrorKind::LedgerFull));
    ledger.markSent(key(1));
    ledger.complete(key(1), {});
    ledger.expire(Time(1002));
    cr_assert_eq(ledger.size(), 1);
    ledger.expire(Time(1000) + Lifetime);
    cr_assert_eq(ledger.size(), 0);
    cr_assert(isRefused(ledger.accept(key(1), "h", Time(1000) + Lifetime), ErrorKind::KeyExpired));
}

Test(ledger, aDifferentBodyWithTheSameKeyIsRefused)
{
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    cr_assert(isRefused(ledger.accept(key(1), "other", Time(1002)), ErrorKind::KeyMismatch));
}

Test(idempotencykey, onlyKeysSignedWithTheSecretAreAccepted)
{
    const std::string text = key(42).encode("a secret of the fleet");
    const auto decoded = IdempotencyKey::decode(text, "a secret of the fleet");
    cr_assert(decoded.isOk());
    cr_assert(decoded.value().node == NodeId("n1"));
    cr_assert_eq(decoded.value().counter, 42);
    cr_assert_not(IdempotencyKey::decode(text, "another secret").isOk());
    cr_assert_not(IdempotencyKey::decode("ik1.n1.5.1000.43" + text.substr(text.rfind('.')), "a secret of the fleet").isOk());
    cr_assert_not(IdempotencyKey::decode("", "a secret of the fleet").isOk());
}

namespace
{

SealedLedger sealOf(Ledger &ledger, Time at)
{
    SealedLedger sealed { NodeId("n1"), Incarnation(5), at, Lifetime, {} };
    ledger.seal(sealed.records);
    return sealed;
}

} // namespace

Test(ledger, aSealedLedgerRunsNothingButStillReplays)
{
    // A node shuts down while callers repeat payments there. It must run none of them any more and still report the outcome of each.
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.markSent(key(1));
    ledger.complete(key(1), { 200, "text/plain", "receipt 1" });
    ledger.accept(key(2), "h", Time(1001));
    ledger.stopAccepting();
    cr_assert(isRefused(ledger.accept(key(3), "h", Time(1002)), ErrorKind::Draining), "a request with an unknown key does not run");
    cr_assert(is<WaitForFirst>(ledger.accept(key(2), "h", Time(1002))), "requests in progress continue");
    const SealedLedger sealed = sealOf(ledger, Time(1003));
    cr_assert_not(ledger.markSent(key(2)));
    cr_assert(isRefused(ledger.accept(key(2), "h", Time(1004)), ErrorKind::Draining));
    cr_assert(is<Replay>(ledger.accept(key(1), "h", Time(1004))));
    cr_assert_eq(sealed.records.size(), 1, "a request that was never sent is not handed over");
}

Test(ledger, aSuccessorReplaysForTheNodeThatLeft)
{
    // The node that ran a payment has left. A repeated request at its successor must get the receipt, or the right error if there is none.
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.markSent(key(1));
    ledger.complete(key(1), { 200, "text/plain", "receipt 1" });
    ledger.accept(key(2), "h", Time(1001));
    ledger.markSent(key(2));
    ledger.fail(key(2));
    ledger.accept(key(3), "h", Time(1001));
    const Time sealedAt(31'000);
    const Time came(500'000); // On another node's clock.
    InheritedLedger first(sealOf(ledger, sealedAt), came);
    InheritedLedger second(first.handOver(came + Duration(1000)), Time(7));
    const Time later = Time(7) + Duration(1000);
    cr_assert(std::get<Replay>(second.accept(key(1), "h", later)).answer.body == "receipt 1");
    cr_assert(isRefused(second.accept(key(1), "other", later), ErrorKind::KeyMismatch));
    cr_assert(isRefused(second.accept(key(2), "h", later), ErrorKind::OutcomeUnknown));
    cr_assert(isRefused(second.accept(key(3), "h", later), ErrorKind::KeyRequired),
        "a request that was never sent has not run, and the caller gets a new key");
    cr_assert(isRefused(second.accept(key(1), "h", Time(7) + Duration(29'000)), ErrorKind::KeyExpired));
    cr_assert_not(second.isOver(later));
    cr_assert(second.isOver(Time(7) + Lifetime));
}

Test(ledger, memoryIsReservedBeforeARequestRuns)
{
    // Many one-time requests with large answers arrive at once. The node must refuse some as not run instead of running out of memory.
    constexpr std::size_t AnswerLimit = 1000;
    Ledger ledger(Lifetime, 1000, { 10'000, AnswerLimit });
    std::uint64_t accepted = 0;
    while (is<RunNow>(ledger.accept(key(accepted), "h", Time(1001)))) {
        ++accepted;
    }
    cr_assert(accepted > 0 && accepted < 10);
    cr_assert(isRefused(ledger.accept(key(accepted), "h", Time(1001)), ErrorKind::LedgerFull));
    for (std::uint64_t i = 0; i < accepted; ++i) {
        ledger.markSent(key(i));
        ledger.complete(key(i), { 200, "text/plain", std::string(AnswerLimit + 1, 'x') });
        cr_assert_leq(ledger.bytes(), 10'000);
    }
    const auto replay = ledger.accept(key(0), "h", Time(1002));
    const StoredAnswer &stored = std::get<Replay>(replay).answer;
    cr_assert(stored.status == 200 && stored.body.empty() && stored.droppedBytes == AnswerLimit + 1 && stored.droppedHash.size() == 64);
    ledger.expire(Time(1000) + Lifetime);
    cr_assert_eq(ledger.bytes(), 0);
}
