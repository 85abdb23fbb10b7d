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

Test(ledger, aRepeatGetsTheFirstOutcome)
{
    // A caller sends its payment, loses the connection and sends again with the same key. It must see one receipt, not two charges.
    Ledger ledger(Lifetime, 10);
    cr_assert(is<RunNow>(ledger.accept(key(1), "h", Time(1001))));
    cr_assert(is<WaitForFirst>(ledger.accept(key(1), "h", Time(1002))));
    cr_assert(ledger.markSent(key(1)));
    cr_assert_not(ledger.markSent(key(1)), "an accepted key is sent once");
    ledger.complete(key(1), { 200, "text/plain", "receipt 1" });
    const auto replay = ledger.accept(key(1), "h", Time(1003));
    cr_assert(std::get<Replay>(replay).answer.body == "receipt 1");
}

Test(ledger, aSentRequestWithoutAnswerNeverRunsAgain)
{
    // The connection to the payment service breaks after the request left. Nobody knows whether it ran, so it must not run again.
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.markSent(key(1));
    ledger.fail(key(1));
    cr_assert(isRefused(ledger.accept(key(1), "h", Time(1002)), ErrorKind::OutcomeUnknown));
}

Test(ledger, aRequestThatNeverLeftMayRunLater)
{
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    ledger.fail(key(1));
    cr_assert(is<RunNow>(ledger.accept(key(1), "h", Time(1002))));
}

Test(ledger, nothingUnexpiredIsDroppedWhenFull)
{
    // A flood of one-time requests fills the memory. Forgetting an old one to make room would let its repeat run twice.
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

Test(ledger, aDifferentBodyUnderTheSameKeyIsRefused)
{
    Ledger ledger(Lifetime, 10);
    ledger.accept(key(1), "h", Time(1001));
    cr_assert(isRefused(ledger.accept(key(1), "other", Time(1002)), ErrorKind::KeyMismatch));
}

Test(idempotencykey, onlyAKeyMintedWithTheSecretIsRead)
{
    const std::string text = key(42).encode("a secret of the fleet");
    const auto read = IdempotencyKey::decode(text, "a secret of the fleet");
    cr_assert(read.isOk());
    cr_assert(read.value().node == NodeId("n1"));
    cr_assert_eq(read.value().counter, 42);
    cr_assert_not(IdempotencyKey::decode(text, "another secret").isOk());
    cr_assert_not(IdempotencyKey::decode("ik1.n1.5.1000.43" + text.substr(text.rfind('.')), "a secret of the fleet").isOk());
    cr_assert_not(IdempotencyKey::decode("", "a secret of the fleet").isOk());
}
