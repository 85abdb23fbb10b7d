#pragma once

#include "coordination/membermessage.h"
#include "coordination/replaywindow.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <vector>

namespace ApricotStep
{

/** Another node as known by this one. */
struct Member
{
    MemberUpdate update;
    Time changedAt;
    ReplayWindow replayWindow;
    /** While it is suspected: the nodes that suspect it, and since when. */
    absl::flat_hash_set<NodeId> accusers;
    Time suspectedAt;

    bool isLive() const
    {
        return update.state == MemberState::Alive || update.state == MemberState::Suspect;
    }
};

/**
 * What this node knows of all other nodes, and a digest that is equal for equal tables. Ordered by id, since equal seeds must give equal
 * runs and the order of a hash map differs from run to run.
 */
class MemberTable
{
public:
    /** Applies @p update if it supersedes what is known. Returns whether it did. */
    bool merge(const MemberUpdate &update, Time now);
    /** Returns null if there is no such member. */
    Member *find(const NodeId &id);
    const Member *find(const NodeId &id) const;
    std::size_t liveCount() const;
    const absl::btree_map<NodeId, Member> &members() const;
    /** Removes members that have been dead or left since before @p moment. */
    void removeDeadBefore(Time moment);
    /** XOR of the hashes of the live members in each bucket. */
    const BucketDigests &digests() const;

private:
    void toggle(const Member &member);

    absl::btree_map<NodeId, Member> m_members;
    BucketDigests m_digests {};
    std::size_t m_live = 0;
};

/** The digest bucket of all facts about @p name. */
std::size_t digestBucket(std::string_view name);
/** The hash with which a live member enters the digests. */
std::uint32_t digestOf(const MemberUpdate &update);

} // namespace ApricotStep
