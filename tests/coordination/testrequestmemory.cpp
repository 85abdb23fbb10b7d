#include "coordination/requestmemory.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::size_t MiB = std::size_t(1) << 20U;
constexpr std::size_t Total = 64 * MiB;
constexpr std::size_t Large = 4 * MiB;
constexpr Time Start { 1000 };
constexpr Time Deadline { 9000 };

/** Fills the memory with large bodies until one does not fit. */
std::vector<std::shared_ptr<BodyReservation>> largeBodies(RequestMemory &memory)
{
    std::vector<std::shared_ptr<BodyReservation>> result;
    while (auto reservation = memory.reserve(Large, Deadline, Start)) {
        result.push_back(std::move(reservation));
    }
    return result;
}

} // namespace

// Guards against a crowd with large bodies that leaves no memory for ordinary requests.
Test(requestmemory, largeBodiesLeaveMemoryToSmallOnesAndToConnections)
{
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(Total));
    const auto large = largeBodies(*memory);
    cr_assert_geq(large.size(), 4);
    std::vector<std::shared_ptr<BodyReservation>> small;
    for (int i = 0; i < 100; ++i) {
        small.push_back(memory->reserve(SmallBodyBytes, Deadline, Start));
        cr_assert(small.back() != nullptr);
    }
    constexpr std::size_t Connection = 200'000;
    for (int i = 0; i < 100; ++i) {
        cr_assert(memory->hasRoomForConnection(Connection));
        memory->onConnectionOpened(Connection);
    }
}

// Guards against a crowd of connections after which no request can have a large body.
Test(requestmemory, connectionsLeaveMemoryToBodies)
{
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(Total));
    constexpr std::size_t Connection = 200'000;
    while (memory->hasRoomForConnection(Connection)) {
        memory->onConnectionOpened(Connection);
    }
    cr_assert(memory->reserve(Large, Deadline, Start) != nullptr);
}

// Guards against connections and bodies that together hold more than they may, in whatever order they come and go.
Test(requestmemory, togetherTheyNeverHoldMoreThanTheTotal)
{
    std::mt19937 random(1);
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(Total));
    std::vector<std::shared_ptr<BodyReservation>> bodies;
    std::vector<std::size_t> connections;
    for (int step = 0; step < 50'000; ++step) {
        const std::size_t bytes = std::size_t(1) << (random() % 23);
        switch (random() % 5) {
        case 0:
            if (auto reservation = memory->reserve(bytes, Deadline, Start)) {
                bodies.push_back(std::move(reservation));
            }
            break;
        case 1:
            if (memory->hasRoomForConnection(bytes)) {
                memory->onConnectionOpened(bytes);
                connections.push_back(bytes);
            }
            break;
        case 2:
            if (!bodies.empty()) {
                bodies[random() % bodies.size()]->resize(bytes);
            }
            break;
        case 3:
            if (!bodies.empty()) {
                bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(random() % bodies.size()));
            }
            break;
        default:
            if (!connections.empty()) {
                memory->onConnectionClosed(connections.back());
                connections.pop_back();
            }
        }
        cr_assert_leq(memory->bodyBytes() + memory->connectionBytes(), Total);
    }
    bodies.clear();
    cr_assert_eq(memory->bodyBytes(), 0);
}

// Guards against clients that stop short of the end of their bodies and keep the memory from others until their deadlines.
Test(requestmemory, bodyThatWillNotBeWholeInTimeGivesWay)
{
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(Total));
    const auto bodies = largeBodies(*memory);
    const auto &stalled = bodies[0];
    const auto &slow = bodies[1];
    const auto &whole = bodies[2];
    whole->onComplete(Large);
    stalled->onArrived(Large - 1);
    slow->onArrived(Large / 8);
    memory->takeBack(Start + Duration(500));
    cr_assert_not(stalled->isTakenBack(), "too short a time to tell");
    for (int second = 1; second <= 3; ++second) {
        cr_assert_null(memory->reserve(Large, Deadline, Start).get());
        slow->onArrived(Large / 8 * static_cast<std::size_t>(second + 1));
        memory->takeBack(Start + Duration::seconds(second));
    }
    cr_assert(stalled->isTakenBack());
    cr_assert_not(slow->isTakenBack(), "it will be whole in time");
    cr_assert_not(whole->isTakenBack());
}

// Guards against slow clients that are ended although nobody needs their memory.
Test(requestmemory, nothingIsTakenBackWhileThereIsMemory)
{
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(Total));
    const auto stalled = memory->reserve(Large, Deadline, Start);
    for (int second = 1; second < 8; ++second) {
        memory->takeBack(Start + Duration::seconds(second));
    }
    cr_assert_not(stalled->isTakenBack());
}

// Guards against small VMs on which a request with the largest body is never served.
Test(requestmemory, smallestProcessHasRoomForOneLargeBody)
{
    constexpr std::size_t MemoryBytes = 112'000'000;
    const auto memory = std::make_shared<RequestMemory>(RequestMemoryLimits::ofProcess(MemoryBytes, MemoryBytes / 4));
    constexpr std::size_t Connection = 240'000;
    int connections = 0;
    for (; memory->hasRoomForConnection(Connection); ++connections) {
        memory->onConnectionOpened(Connection);
    }
    cr_assert_geq(connections, 100);
    cr_assert(memory->reserve(Large + SmallBodyBytes, Deadline, Start) != nullptr);
}
