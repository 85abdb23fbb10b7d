#pragma once

#include "coordination/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Fakes
{

/** Several Membership instances under virtual time that exchange datagrams with loss, delay, duplication and partitions. */
class FakeFleet
{
public:
    struct FakeNode
    {
        std::unique_ptr<ApricotStep::Membership> membership;
        bool isUp = true;
        ApricotStep::Time pausedUntil;
        std::vector<ApricotStep::Rumour> learned;
        std::map<std::size_t, ApricotStep::Time> lostAt; // When each other node was removed from this node's view.
    };

    explicit FakeFleet(std::uint64_t seed)
        : m_random(seed)
    {
    }

    double loss = 0;
    double duplication = 0;
    int maxDelayMs = 3;
    std::function<bool(std::size_t, std::size_t)> isCut;
    /** Returns the size of a datagram; if set, the sizes of all sent datagrams are added to bytes. */
    std::function<std::size_t(const ApricotStep::MemberDatagram &)> sizeOf;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::vector<FakeNode> nodes;
    ApricotStep::VmList list;

    /** Adds and starts a node; @p isListed: whether the VM list names it. */
    std::size_t add(const std::string &zone, bool isListed = true)
    {
        const std::size_t index = nodes.size();
        nodes.emplace_back();
        m_zones.push_back(zone);
        if (isListed) {
            ApricotStep::VmRecord vm;
            vm.id = name(index);
            vm.zone = ApricotStep::ZoneId(zone);
            vm.membershipAddress = address(index);
            list.vms.push_back(vm);
        }
        start(index);
        return index;
    }
    /** Starts or restarts a node without any state. */
    void start(std::size_t index)
    {
        ApricotStep::MemberUpdate self;
        self.id = ApricotStep::NodeId(name(index));
        self.zone = ApricotStep::ZoneId(m_zones[index]);
        self.incarnation = ApricotStep::Incarnation(static_cast<std::uint64_t>(m_now.milliseconds()) * 1000 + 1);
        self.membershipAddress = address(index);
        self.callerAddress = "10.0.0.1:8080";
        self.rpcAddress = "10.0.0.1:8081";
        nodes[index].membership = std::make_unique<ApricotStep::Membership>(self, limits, m_random());
        nodes[index].isUp = true;
        nodes[index].learned.clear();
    }
    void readVmList()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            handle(i, ApricotStep::VmListRead { list });
        }
    }
    void handle(std::size_t index, const ApricotStep::MembershipEvent &event)
    {
        FakeNode &node = nodes[index];
        if (!node.isUp || m_now < node.pausedUntil) {
            return;
        }
        for (ApricotStep::MembershipAction &action : node.membership->handle(event, m_now)) {
            if (auto *datagram = std::get_if<ApricotStep::SendDatagram>(&action)) {
                send(index, std::move(*datagram));
            } else if (auto *rumour = std::get_if<ApricotStep::RumourLearned>(&action)) {
                node.learned.push_back(rumour->rumour);
            }
        }
    }
    /** Advances the time by @p span in steps of tick. */
    void run(ApricotStep::Duration span, const std::function<void()> &eachTick = {})
    {
        const ApricotStep::Time end = m_now + span;
        while (m_now < end) {
            m_now = m_now + tick;
            deliver();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                handle(i, ApricotStep::MembershipTick {});
            }
            if (eachTick) {
                eachTick();
            }
        }
    }
    /** Whether node @p other is in the view of node @p observer. */
    bool sees(std::size_t observer, std::size_t other) const
    {
        return nodes[observer].membership->view()->node(ApricotStep::NodeId(name(other))) != nullptr;
    }
    /** Whether every node that is up sees exactly those that are up. */
    bool isAgreed() const
    {
        for (std::size_t observer = 0; observer < nodes.size(); ++observer) {
            for (std::size_t other = 0; nodes[observer].isUp && other < nodes.size(); ++other) {
                if (sees(observer, other) != nodes[other].isUp) {
                    return false;
                }
            }
        }
        return true;
    }
    ApricotStep::Time now() const
    {
        return m_now;
    }
    static std::string name(std::size_t index)
    {
        return "node" + std::to_string(index);
    }

    ApricotStep::Duration tick { 50 };
    ApricotStep::MembershipLimits limits;

private:
    struct InFlightDatagram
    {
        ApricotStep::Time at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::shared_ptr<ApricotStep::MemberDatagram> datagram;
        bool operator<(const InFlightDatagram &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static std::string address(std::size_t index)
    {
        return "10.1." + std::to_string(index / 250) + '.' + std::to_string(index % 250) + ":" + std::to_string(7000 + index);
    }
    static std::size_t indexOf(const std::string &address)
    {
        return std::stoul(address.substr(address.rfind(':') + 1)) - 7000;
    }
    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    void send(std::size_t from, ApricotStep::SendDatagram action)
    {
        ++datagrams;
        bytes += sizeOf ? sizeOf(action.datagram) : 0;
        const std::size_t to = indexOf(action.address);
        if (to >= nodes.size() || (isCut && isCut(from, to))) {
            return;
        }
        const auto shared = std::make_shared<ApricotStep::MemberDatagram>(std::move(action.datagram));
        for (int copy = 0; copy < (chance() < duplication ? 2 : 1); ++copy) {
            if (chance() >= loss) {
                const int delay = std::uniform_int_distribution<int>(1, maxDelayMs)(m_random);
                m_inFlight.push({ m_now + ApricotStep::Duration(delay), ++m_order, from, to, shared });
            }
        }
    }
    void deliver()
    {
        const ApricotStep::Time end = m_now;
        while (!m_inFlight.empty() && m_inFlight.top().at <= end) {
            const InFlightDatagram next = m_inFlight.top();
            m_inFlight.pop();
            m_now = next.at;
            handle(next.to, ApricotStep::DatagramReceived { *next.datagram, address(next.from) });
        }
        m_now = end;
    }

    std::mt19937_64 m_random;
    std::priority_queue<InFlightDatagram> m_inFlight;
    std::uint64_t m_order = 0;
    std::vector<std::string> m_zones;
    ApricotStep::Time m_now { 1000 };
};

} // namespace Fakes
