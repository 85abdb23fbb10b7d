#include "coordination/gossipqueue.h"

#include "coordination/factset.h"
#include "core/result.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Fixed-width fields and length bytes of one item, rounded up.
constexpr std::size_t FixedBytes = 26;

std::string keyOf(const GossipQueue::Item &item)
{
    return std::visit(Overloaded {
                          [](const MemberUpdate &update) { return "m." + update.id.value(); },
                          [](const AgedRumour &rumour) { return rumourName(rumour.rumour); },
                      },
        item);
}

} // namespace

std::size_t wireSize(const MemberUpdate &update)
{
    std::size_t size = FixedBytes + update.id.value().size() + update.accuser.value().size();
    if (update.state == MemberState::Alive) {
        size += update.zone.value().size() + update.membershipAddress.size() + update.callerAddress.size() + update.rpcAddress.size();
    }
    return size;
}

std::size_t wireSize(const AgedRumour &rumour)
{
    return FixedBytes
        + std::visit(Overloaded {
                         [](const LeavingFact &fact) { return fact.vm.size(); },
                         [](const ConfigFact &fact) { return fact.node.value().size(); },
                         [](const HandOffFact &fact) { return fact.node.value().size() + fact.successor.value().size(); },
                     },
            rumour.rumour);
}

void GossipQueue::add(Item item, Time now)
{
    std::string name = keyOf(item);
    m_entries.insert_or_assign(std::move(name), Entry { std::move(item), now, 0 });
}

void GossipQueue::fill(MemberDatagram &datagram, std::size_t maxBytes, int transmitLimit, Time now)
{
    std::vector<std::pair<int, std::string>> order;
    for (const auto &[name, entry] : m_entries) {
        order.emplace_back(entry.transmissions, name);
    }
    std::sort(order.begin(), order.end());
    std::size_t bytes = 0;
    for (const auto &[transmissions, name] : order) {
        const auto at = m_entries.find(name);
        const std::size_t size = std::visit([](const auto &item) { return wireSize(item); }, at->second.item);
        if (bytes + size > maxBytes) {
            continue;
        }
        bytes += size;
        std::visit(Overloaded {
                       [&](const MemberUpdate &update) { datagram.updates.push_back(update); },
                       [&](const AgedRumour &rumour) {
                           datagram.rumours.push_back({ rumour.rumour, rumour.age + (now - at->second.addedAt) });
                       },
                   },
            at->second.item);
        if (++at->second.transmissions >= transmitLimit) {
            m_entries.erase(at);
        }
    }
}

bool GossipQueue::isEmpty() const
{
    return m_entries.empty();
}

} // namespace ApricotStep
