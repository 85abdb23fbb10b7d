#pragma once

#include "coordination/membermessage.h"
#include "coordination/replaywindow.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <vector>

namespace ApricotStep
{

/** One other node as this one knows it. */
struct Member
{
    MemberUpdate update;
    Time changedAt;
    ReplayWindow replayWindow;
    /** While it is suspected: who says so, and until when it may refute. */
    absl::flat_hash_set<NodeId> accusers;
    Time suspectedAt;

    bool isLive() const
    {
        return update.state == MemberState::Alive || update.state == MemberState::Suspect;
    }
};

/**
 * What this node knows of all other nodes, and a digest of it that equal tables share. Ordered by id, since equal seeds must give equal
 * runs and a hash map's order differs from run to run.
 */
class MemberTable
{
public:
    /** Takes @p update in when it supersedes what is known. Returns whether it did. */
    bool merge(const MemberUpdate &update, Time now);
    /** Null when there is none. */
    Member *find(const NodeId &id);
    const Member *find(const NodeId &id) const;
    /** Live members only. */
    std::size_t liveCount() const;
    const absl::btree_map<NodeId, Member> &members() const;
    /** Forgets members that have been dead or left since before @p moment. */
    void removeDeadBefore(Time moment);
    /** XOR of the hashes of the live members of each bucket. */
    const BucketDigests &digests() const;

private:
    void toggle(const Member &member);

    absl::btree_map<NodeId, Member> m_members;
    BucketDigests m_digests {};
    std::size_t m_live = 0;
};

/** The bucket that knowledge about @p name belongs to. */
std::size_t digestBucket(std::string_view name);
/** The hash under which a live member enters the digests. */
std::uint32_t digestOf(const MemberUpdate &update);

} // namespace ApricotStep
