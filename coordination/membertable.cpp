#include "coordination/membertable.h"

#include "core/hash.h"

namespace ApricotStep
{

std::size_t digestBucket(std::string_view name)
{
    return stableHash(name) % DigestBuckets;
}

std::uint32_t digestOf(const MemberUpdate &update)
{
    const std::string start = std::to_string(update.incarnation.value()) + '.' + std::to_string(update.refutation);
    return static_cast<std::uint32_t>(stableHash(update.id.value(), start));
}

// Dead members are not part of the digests: nodes remove them at different times, so the digests would never agree and synchronisation
// would never end.
void MemberTable::toggle(const Member &member)
{
    if (member.isLive()) {
        m_digests[digestBucket(member.update.id.value())] ^= digestOf(member.update);
    }
}

bool MemberTable::merge(const MemberUpdate &update, Time now)
{
    const auto [at, isNew] = m_members.try_emplace(update.id);
    Member &member = at->second;
    if (!isNew) {
        if (!supersedes(update, member.update)) {
            return false;
        }
        if (update.incarnation != member.update.incarnation) {
            member.replayWindow = ReplayWindow();
        }
        toggle(member);
        m_live -= member.isLive() ? 1 : 0;
    }
    const bool hasAddresses = !update.membershipAddress.empty();
    MemberUpdate next = update;
    if (!hasAddresses) {
        next.zone = member.update.zone;
        next.number = member.update.number;
        next.membershipAddress = member.update.membershipAddress;
        next.callerAddress = member.update.callerAddress;
        next.rpcAddress = member.update.rpcAddress;
    }
    member.update = std::move(next);
    member.changedAt = now;
    if (member.update.state != MemberState::Suspect) {
        member.accusers.clear();
    }
    toggle(member);
    m_live += member.isLive() ? 1 : 0;
    return true;
}

Member *MemberTable::find(const NodeId &id)
{
    const auto at = m_members.find(id);
    return at == m_members.end() ? nullptr : &at->second;
}

const Member *MemberTable::find(const NodeId &id) const
{
    const auto at = m_members.find(id);
    return at == m_members.end() ? nullptr : &at->second;
}

std::size_t MemberTable::liveCount() const
{
    return m_live;
}

const absl::btree_map<NodeId, Member> &MemberTable::members() const
{
    return m_members;
}

void MemberTable::removeDeadBefore(Time moment)
{
    absl::erase_if(m_members, [&](const auto &entry) { return !entry.second.isLive() && entry.second.changedAt < moment; });
}

const BucketDigests &MemberTable::digests() const
{
    return m_digests;
}

} // namespace ApricotStep
