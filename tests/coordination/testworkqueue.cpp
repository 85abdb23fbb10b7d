#include "coordination/workqueue.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(const char *id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

WorkItem item(std::uint64_t id, const char *caller, Priority priority = Priority::Standard, int tokens = 100, const char *on = "a")
{
    return { RequestId(id), adapter(on), priority, CallerId(caller), Time(0), Time(100'000), tokens };
}

} // namespace

Test(workqueue, aFloodOfOneCallerDelaysOnlyThatCaller)
{
    // One caller sends a hundred requests at once, then another sends one. In order of arrival the latter would wait for all of them.
    WorkQueue queue;
    queue.setReady(adapter("a"), true);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        queue.add(item(id, "flood"));
    }
    queue.add(item(999, "manager"));
    int before = 0;
    while (queue.next(QueueLevel::Patient)->id != RequestId(999)) {
        ++before;
    }
    cr_assert_lt(before, 4);
    cr_assert_eq(queue.size(), 100 - before);
}

Test(workqueue, aCallerWithManyAdaptersGetsNoLargerShare)
{
    WorkQueue queue;
    std::uint64_t id = 1;
    for (const char *on : { "a", "b", "c", "d" }) {
        queue.setReady(adapter(on), true);
        for (int count = 0; count < 10; ++count) {
            queue.add(item(id++, "many", Priority::Standard, 256, on));
        }
    }
    for (int count = 0; count < 10; ++count) {
        queue.add(item(id++, "one", Priority::Standard, 256));
    }
    int ofOne = 0;
    for (int served = 0; served < 20; ++served) {
        ofOne += queue.next(QueueLevel::Patient)->caller == CallerId("one") ? 1 : 0;
    }
    cr_assert_eq(ofOne, 10);
}

Test(workqueue, aLongRequestIsChargedForItsLength)
{
    WorkQueue queue;
    queue.setReady(adapter("a"), true);
    queue.add(item(1, "long", Priority::Standard, 4096));
    for (std::uint64_t id = 2; id <= 9; ++id) {
        queue.add(item(id, "short", Priority::Standard, 256));
    }
    for (int served = 0; served < 8; ++served) {
        cr_assert_eq(queue.next(QueueLevel::Patient)->caller, CallerId("short"));
    }
    cr_assert_eq(queue.next(QueueLevel::Patient)->id, RequestId(1));
}

Test(workqueue, requestsThatUsedMostOfTheirAllowanceArePromoted)
{
    // Standard requests keep arriving. Without promotion a patient request would wait behind them until its deadline.
    WorkQueue queue;
    queue.setReady(adapter("a"), true);
    queue.add(item(1, "office", Priority::Patient));
    queue.add(item(2, "other", Priority::Standard));
    cr_assert_eq(queue.promoteAged(Time(74'000)).size(), 0);
    cr_assert_eq(queue.promoteAged(Time(76'000)).size(), 2);
    queue.add(item(3, "third", Priority::Standard));
    queue.next(QueueLevel::Patient);
    queue.next(QueueLevel::Patient);
    cr_assert_eq(queue.next(QueueLevel::Patient)->id, RequestId(3));
}

Test(workqueue, requestsForMissingAdaptersDoNotBlockOthers)
{
    WorkQueue queue;
    queue.add(item(1, "c", Priority::Urgent, 100, "cold"));
    queue.add(item(2, "c", Priority::Patient, 100, "warm"));
    queue.setReady(adapter("warm"), true);
    cr_assert_eq(queue.next(QueueLevel::Patient)->id, RequestId(2));
    cr_assert(!queue.next(QueueLevel::Patient).has_value());
    queue.setReady(adapter("cold"), true);
    cr_assert_eq(queue.next(QueueLevel::Patient)->id, RequestId(1));
}

Test(workqueue, countsMatchAfterEveryKindOfRemoval)
{
    WorkQueue queue;
    queue.setReady(adapter("a"), true);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        queue.add(item(id, id % 2 == 0 ? "x" : "y", Priority::Patient));
    }
    queue.setReady(adapter("a"), false);
    cr_assert_eq(queue.readyCount(QueueLevel::Patient), 0);
    cr_assert(queue.oldestReadyPatient() == nullptr);
    queue.setReady(adapter("a"), true);
    cr_assert_eq(queue.readyCount(QueueLevel::Patient), 6);
    queue.remove(RequestId(1));
    queue.remove(RequestId(1));
    queue.next(QueueLevel::Patient);
    cr_assert_eq(queue.readyCount(QueueLevel::Patient), 4);
    cr_assert_eq(queue.demand(adapter("a")).waiting, 4);
    cr_assert_eq(queue.takeAdapter(adapter("a"), Time::never()).size(), 4);
    cr_assert_eq(queue.tokensAhead(CallerId("x"), QueueLevel::Patient), 0);
    cr_assert_eq(queue.size(), 0);
}

Test(workqueue, aFloodOfAnotherCallerDoesNotLengthenTheExpectedWait)
{
    // The expected wait decides which requests are refused on arrival. A flood must only cause refusals for the caller that sends it.
    WorkQueue queue;
    queue.setReady(adapter("a"), true);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        queue.add(item(id, "flood"));
    }
    cr_assert_lt(queue.tokensAhead(CallerId("manager"), QueueLevel::Standard), 1000);
    cr_assert_eq(queue.tokensAhead(CallerId("flood"), QueueLevel::Standard), 10'000);
}
