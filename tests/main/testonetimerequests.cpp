#include "main/ledgerhandover.h"
#include "main/onetimerequests.h"
#include "protocol/ledgercodec.h"
#include "tests/main/fixtures.h"
#include "transport/noderpc.h"

#include <criterion/criterion.h>

using namespace Fixtures;

namespace
{

constexpr const char *Secret = "0123456789abcdef";

std::unique_ptr<NodeRpc> startRpc()
{
    NodeRpcSettings settings;
    settings.secret = Secret;
    return std::move(NodeRpc::start(settings).value());
}

IdempotencyKey newKey(OneTimeRequests &requests)
{
    return IdempotencyKey::decode(requests.mintKey(), Secret).value();
}

} // namespace

Test(onetimerequests, leavingNodeHandsOverItsLedger)
{
    // A node that has run many payments leaves. The first successor is unreachable; the next one accepts all batches. A repeated request
    // there must get the stored answer, without a second charge.
    constexpr int Payments = 200;
    NodeFixture fixture;
    OneTimeRequests leaving(NodeId("n1"), Incarnation(1), *fixture.settings, fixture.clock);
    OneTimeRequests staying(NodeId("n2"), Incarnation(1), *fixture.settings, fixture.clock);
    std::vector<IdempotencyKey> keys;
    for (int i = 0; i < Payments; ++i) {
        keys.push_back(newKey(leaving));
        cr_assert(std::holds_alternative<RunNow>(leaving.accept(keys.back(), "h", {})));
        cr_assert(leaving.markSent(keys.back()));
        leaving.complete(keys.back(), { 200, "text/plain", std::string(10'000, 'r') + std::to_string(i) });
    }
    const auto from = startRpc();
    const auto to = startRpc();
    HandOffFact fact;
    to->servePart(LedgerPart, [&](const std::string &bytes) -> Result<std::string> {
        const auto taken = staying.receiveBatch(bytes, &fact);
        return taken.isOk() ? Result<std::string>(std::string()) : Result<std::string>(taken.error());
    });
    const std::vector<NodeView> candidates { { NodeId("n3"), ZoneId("a"), "", "127.0.0.1:1" },
        { NodeId("n2"), ZoneId("a"), "", "127.0.0.1:" + std::to_string(to->port()) } };
    cr_assert(handOverLedgers(*from, leaving.seal(), candidates) == NodeId("n2"));
    cr_assert(fact == (HandOffFact { NodeId("n1"), Incarnation(1), NodeId("n2") }));
    cr_assert(staying.holds(keys.back()));
    for (int i = 0; i < Payments; ++i) {
        const auto decision = staying.accept(keys[static_cast<std::size_t>(i)], "h", {});
        cr_assert(std::get<Replay>(decision).answer.body.ends_with("r" + std::to_string(i)));
    }
    cr_assert_not(
        leaving.receiveBatch(encodeLedger(staying.seal().front(), 1000).front(), &fact).isOk(), "a sealed node accepts no ledger");
}

Test(onetimerequests, ledgerWithMissingBatchIsRefused)
{
    // A batch is lost in transit. If the ledger were accepted as complete, payments that ran would be reported as not run.
    NodeFixture fixture;
    OneTimeRequests staying(NodeId("n2"), Incarnation(1), *fixture.settings, fixture.clock);
    SealedLedger ledger { NodeId("n1"), Incarnation(1), Time(5), Duration::seconds(60), {} };
    for (std::uint64_t i = 0; i < 3; ++i) {
        ledger.records.push_back({ i, "h", true, { 200, "text/plain", std::string(1000, 'r') } });
    }
    const auto batches = encodeLedger(ledger, 1000);
    cr_assert_eq(batches.size(), 3);
    HandOffFact fact;
    cr_assert_not(staying.receiveBatch(batches[0], &fact).value());
    cr_assert_not(staying.receiveBatch(batches[2], &fact).isOk());
    cr_assert_not(staying.holds({ NodeId("n1"), Incarnation(1), Time(1), 0 }));
    cr_assert_not(staying.receiveBatch("nonsense", &fact).isOk());
}
