#pragma once

#include "coordination/membermessage.h"

#include <absl/container/btree_map.h>

#include <string>
#include <vector>

namespace ApricotStep
{

/**
 * The rumours that this node knows, merged by set union.
 *
 * A fact about a VM expires a fixed time after its source last reported it, at about the same moment on all nodes. Without expiry, a fleet
 * that replaces a thousand VMs a day would keep facts about all of them for ever. Of the configuration versions only the highest is kept,
 * with the first few nodes that serve it: if each of 400 nodes announced each version, that alone would use up the budget for control
 * traffic.
 */
class FactSet
{
public:
    static constexpr std::size_t MaxHolders = 3;
    /** For an upstream's LeavingFact, since the VM list last showed it. */
    static constexpr Duration UpstreamLifetime = Duration::seconds(900);
    /** For facts about one incarnation of a node: as long as the longest lifetime of an idempotency key. */
    static constexpr Duration NodeLifetime = Duration::seconds(86'400);

    /** Merges @p rumour. Returns whether it was added. */
    bool merge(const AgedRumour &rumour, Time now);
    /** Whether @p vm is leaving under @p incarnation. */
    bool isLeaving(const std::string &vm, Incarnation incarnation) const;
    /** All known facts with their ages. */
    std::vector<AgedRumour> all(Time now) const;
    /** Removes expired facts. Returns whether there were any. */
    bool expire(Time now);
    const BucketDigests &digests() const;

private:
    void toggle(const Rumour &rumour);
    bool mergeConfig(const ConfigFact &fact);

    // By rumourName(); the time is when the source announced the rumour.
    absl::btree_map<std::string, std::pair<Rumour, Time>> m_facts;
    std::vector<ConfigFact> m_holders;
    BucketDigests m_digests {};
};

/** A key that only equal rumours share. */
std::string rumourName(const Rumour &rumour);

} // namespace ApricotStep
