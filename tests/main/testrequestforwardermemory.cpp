#include "testrequestforwarderfixture.h"

#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

/** An engine of 10,000 tokens, of which a peer has reserved 9,000. */
struct MemoryFixture : ForwarderFixture
{
    ScriptedUpstream engine { [](const std::string &) { return ScriptedAnswer { CompleteAnswer }; } };

    static ForwarderSettings limitedMemory()
    {
        ForwarderSettings settings;
        settings.placement.limitsMemory = true;
        return settings;
    }
    MemoryFixture()
        : ForwarderFixture(limitedMemory())
    {
        configure(RequestKind::Idempotent, 2, false, Duration(1500), 10'000);
        addUpstream("e1", engine);
        reserveByPeer(9'000);
    }
    void reserveByPeer(std::uint32_t tokens)
    {
        clusterState.loadTracker.onPeerLoads(NodeId("peer"), { UpstreamLoad { UpstreamId("e1"), 1, 0, tokens } }, loop.now());
    }
    static HttpRequest generation(const std::string &tokens)
    {
        HttpRequest result = request();
        result.headers["apricotstep-model"] = "m";
        result.headers["apricotstep-token-count"] = tokens;
        result.headers["apricotstep-deadline-ms"] = "400";
        return result;
    }
};

} // namespace

// An engine crashes under requests that need more memory than it has: the request must wait until there is room.
Test(requestforwarder, requestWaitsForRoomInEngineMemory)
{
    MemoryFixture fixture;
    const auto caller = fixture.send(MemoryFixture::generation("900,300"));
    fixture.loop.after(Duration(150), [&] {
        cr_assert(fixture.engine.requests().empty());
        fixture.reserveByPeer(1'000);
    });
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 200);
    cr_assert_eq(fixture.clusterState.loadTracker.load(UpstreamId("e1"), fixture.loop.now()).reservedTokens, 1'000);
}

// A request that gets no room in time must not reach the engine, and its caller may send it again.
Test(requestforwarder, requestWithoutRoomInEngineMemoryIsRefused)
{
    MemoryFixture fixture;
    const auto caller = fixture.send(MemoryFixture::generation("900,300"));
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 503);
    cr_assert(fixture.engine.requests().empty());
    cr_assert(absl::StrContains(fixture.metrics.text({}), "apricotstep_entry_no_engine_memory_total 1"));
}

// A request that no engine can ever hold would otherwise be sent again and again.
Test(requestforwarder, requestBeyondEngineMemoryIsRefusedForGood)
{
    MemoryFixture fixture;
    const auto caller = fixture.send(MemoryFixture::generation("9900,300"));
    cr_assert(caller->isDone());
    cr_assert_eq(caller->status(), 413);
}
