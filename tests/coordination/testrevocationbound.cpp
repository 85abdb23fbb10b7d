#include "coordination/revocationbound.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Bound = Duration::seconds(5);
constexpr Duration MaxWatchGap = Duration::seconds(1);
constexpr Time Start { 100'000 };

/** A safeguard that a history can run without, to show that the check would catch its absence. */
enum class Safeguard {
    None,
    /** The time at which a read was sent counts, not that of its answer. */
    ReadCountsFromSending,
    /** A peer's age counts from the request, not from the answer. */
    AgeCountsFromRequest,
    /** Keys are refused once the configuration is too old. */
    KeysAreRefused,
    /** The bound allows for changes that a watch misses. */
    WatchGapIsAllowedFor,
};

/**
 * Nodes that read a store and each other over links of any delay, lose messages, are paused and are cut off, while an operator withdraws
 * keys and callers use them. Each withdrawal removes one key; a state of the configuration is the number of withdrawals it contains.
 */
class History
{
public:
    History(std::uint64_t seed, Safeguard disabled)
        : m_random(seed)
        , m_disabled(disabled)
        , m_nodes(3)
    {
    }

    /** Returns the number of requests that ran on a key for longer than the bound after its withdrawal. */
    int run()
    {
        const int withdrawals = uniform(1, 6);
        for (int i = 0; i < withdrawals; ++i) {
            m_withdrawnAt.push_back(Start + Duration(uniform(0, 25'000)));
        }
        std::sort(m_withdrawnAt.begin(), m_withdrawnAt.end());
        m_gapStart = Start + Duration(uniform(0, 25'000));
        for (Node &node : m_nodes) {
            node.lostFrom = Start + Duration(uniform(0, 25'000));
            node.lostUntil = node.lostFrom + Duration(uniform(0, 15'000));
            node.pausedFrom = Start + Duration(uniform(0, 25'000));
            node.pausedUntil = node.pausedFrom + Duration(uniform(0, 12'000));
        }
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            scheduleReads(node);
            schedulePeerFetches(node);
            scheduleRequests(node);
        }
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return m_violations;
    }

private:
    struct Node
    {
        Time knownAt;
        int knownWithdrawals = 0;
        /** No message to or from the store and the other nodes arrives. */
        Time lostFrom;
        Time lostUntil;
        Time pausedFrom;
        Time pausedUntil;
    };

    int uniform(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    void at(Time time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }
    /** Runs @p action at @p time, or when the node's pause ends. */
    void atNode(std::size_t index, Time time, std::function<void()> action)
    {
        const Node &node = m_nodes[index];
        const bool isPaused = time >= node.pausedFrom && time < node.pausedUntil;
        at(isPaused ? node.pausedUntil : time, std::move(action));
    }
    bool isLost(std::size_t index) const
    {
        return m_now >= m_nodes[index].lostFrom && m_now < m_nodes[index].lostUntil;
    }
    Duration delay()
    {
        return Duration(uniform(0, 9) == 0 ? uniform(0, 1400) : uniform(1, 10));
    }
    int withdrawalsUntil(Time time) const
    {
        return static_cast<int>(std::upper_bound(m_withdrawnAt.begin(), m_withdrawnAt.end(), time) - m_withdrawnAt.begin());
    }
    /** What a read at the store shows now: during the gap, watches are answered without the changes since its start. */
    int shownWithdrawals() const
    {
        const bool isInGap = m_now >= m_gapStart && m_now < m_gapStart + MaxWatchGap;
        return withdrawalsUntil(isInGap ? m_gapStart : m_now);
    }
    void learn(Node &node, int withdrawals, Time knownAt)
    {
        node.knownWithdrawals = std::max(node.knownWithdrawals, withdrawals);
        node.knownAt = std::max(node.knownAt, knownAt);
    }
    void scheduleReads(std::size_t index)
    {
        for (Time time = Start - Duration(2000); time < Start + Duration(40'000); time = time + Duration(uniform(300, 1500))) {
            atNode(index, time, [this, index] {
                const Time sentAt = m_now;
                at(m_now + delay(), [this, index, sentAt] {
                    if (isLost(index)) {
                        return;
                    }
                    const int withdrawals = shownWithdrawals();
                    atNode(index, m_now + delay(), [this, index, sentAt, withdrawals] {
                        learn(m_nodes[index], withdrawals, m_disabled == Safeguard::ReadCountsFromSending ? m_now : sentAt);
                    });
                });
            });
        }
    }
    void schedulePeerFetches(std::size_t index)
    {
        for (Time time = Start; time < Start + Duration(40'000); time = time + Duration(uniform(300, 3000))) {
            const std::size_t peer = (index + static_cast<std::size_t>(uniform(1, 2))) % m_nodes.size();
            atNode(index, time, [this, index, peer] {
                const Time sentAt = m_now;
                atNode(peer, m_now + delay(), [this, index, peer, sentAt] {
                    if (isLost(peer) || isLost(index)) {
                        return;
                    }
                    const int withdrawals = m_nodes[peer].knownWithdrawals;
                    const Duration age = m_now - m_nodes[peer].knownAt;
                    atNode(index, m_now + delay(), [this, index, withdrawals, age, sentAt] {
                        const Time from = m_disabled == Safeguard::AgeCountsFromRequest ? m_now : sentAt;
                        learn(m_nodes[index], withdrawals, from - age);
                    });
                });
            });
        }
    }
    void scheduleRequests(std::size_t index)
    {
        for (Time time = Start; time < Start + Duration(40'000); time = time + Duration(uniform(20, 400))) {
            const int key = uniform(0, static_cast<int>(m_withdrawnAt.size()) - 1);
            const Time sentAt = time;
            atNode(index, time + delay(), [this, index, key, sentAt] { handleRequest(m_nodes[index], key, sentAt); });
        }
    }
    void handleRequest(const Node &node, int key, Time sentAt)
    {
        const Duration bound = m_disabled == Safeguard::WatchGapIsAllowedFor ? Bound + MaxWatchGap : Bound;
        const bool isAllowed = m_disabled == Safeguard::KeysAreRefused || RevocationBound(bound).allowsKeys(node.knownAt, m_now);
        const bool isKnownWithdrawn = key < node.knownWithdrawals;
        if (isAllowed && !isKnownWithdrawn && sentAt - m_withdrawnAt[static_cast<std::size_t>(key)] > Bound) {
            ++m_violations;
        }
    }

    std::mt19937_64 m_random;
    Safeguard m_disabled;
    std::vector<Node> m_nodes;
    std::vector<Time> m_withdrawnAt;
    Time m_gapStart;
    std::multimap<Time, std::function<void()>> m_events;
    Time m_now;
    int m_violations = 0;
};

int violations(Safeguard disabled, std::uint64_t histories, std::uint64_t firstSeed = 1)
{
    int result = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + histories; ++seed) {
        result += History(seed, disabled).run();
    }
    return result;
}

} // namespace

// Guards against a withdrawn key that still works past the bound at a node that is cut off, paused, or told of the withdrawal late.
Test(revocationbound, withdrawnKeysStopInTimeInTheFirstHistories)
{
    cr_assert_eq(violations(Safeguard::None, 5000), 0);
}

Test(revocationbound, withdrawnKeysStopInTimeInTheSecondHistories)
{
    cr_assert_eq(violations(Safeguard::None, 5000, 5001), 0);
}

// Guards against histories that could not show the absence of a safeguard.
Test(revocationbound, historiesShowMissingSafeguards)
{
    cr_assert_gt(violations(Safeguard::ReadCountsFromSending, 3000), 0);
    cr_assert_gt(violations(Safeguard::AgeCountsFromRequest, 3000), 0);
    cr_assert_gt(violations(Safeguard::KeysAreRefused, 300), 0);
}

Test(revocationbound, historiesShowAMissingMargin)
{
    cr_assert_gt(violations(Safeguard::WatchGapIsAllowedFor, 10'000), 0);
}

// Guards against callers that are sent to a node just before it refuses their keys.
Test(revocationbound, nodeIsDelistedBeforeItRefusesKeys)
{
    const RevocationBound bound(Bound);
    cr_assert(bound.allowsListing(Start, Start + Duration(2900)));
    cr_assert_not(bound.allowsListing(Start, Start + Duration(3000)));
    cr_assert(bound.allowsKeys(Start, Start + Duration(3900)));
    cr_assert_not(bound.allowsKeys(Start, Start + Duration(4000)));
    cr_assert(bound.readBound(Duration(3000)) == Duration(3000) && bound.readBound(Duration(9000)) == Duration(3000));
}

// Guards against an outage of the store that would refuse callers where no bound is set.
Test(revocationbound, knownKeysStayUsableWithoutABound)
{
    const RevocationBound none(std::nullopt);
    cr_assert(none.allowsKeys(Time(), Start) && none.allowsListing(Time(), Start) && !none.refreshAge());
}
