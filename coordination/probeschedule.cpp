#include "coordination/probeschedule.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

std::vector<NodeId> shuffledLive(const MemberTable &table, const NodeId &except, Random &random)
{
    std::vector<NodeId> ids;
    for (const auto &[id, member] : table.members()) {
        if (member.isLive() && id != except) {
            ids.push_back(id);
        }
    }
    std::shuffle(ids.begin(), ids.end(), random);
    return ids;
}

} // namespace

NodeId ProbeSchedule::next(const MemberTable &table, Random &random)
{
    for (int round = 0; round < 2; ++round) {
        while (!m_round.empty()) {
            NodeId id = m_round.back();
            m_round.pop_back();
            const Member *member = table.find(id);
            if (member != nullptr && member->isLive()) {
                return id;
            }
        }
        m_round = shuffledLive(table, {}, random);
    }
    return {};
}

std::vector<NodeId> chooseRelays(const MemberTable &table, const Member &target, const ZoneId &ownZone, std::size_t count, Random &random)
{
    std::vector<NodeId> others = shuffledLive(table, target.update.id, random);
    std::vector<NodeId> relays;
    const auto take = [&](const ZoneId &zone) {
        const auto at = std::find_if(others.begin(), others.end(), [&](const NodeId &id) { return table.find(id)->update.zone == zone; });
        if (at != others.end() && relays.size() < count) {
            relays.push_back(*at);
            others.erase(at);
        }
    };
    take(target.update.zone);
    take(ownZone);
    for (std::size_t i = 0; i < others.size() && relays.size() < count; ++i) {
        relays.push_back(others[i]);
    }
    return relays;
}

std::vector<NodeId> chooseLive(const MemberTable &table, std::size_t count, const NodeId &except, Random &random)
{
    std::vector<NodeId> ids = shuffledLive(table, except, random);
    ids.resize(std::min(count, ids.size()));
    return ids;
}

} // namespace ApricotStep
