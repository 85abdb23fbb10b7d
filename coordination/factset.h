#pragma once

#include "coordination/membermessage.h"

#include <absl/container/btree_map.h>

#include <string>
#include <vector>

namespace ApricotStep
{

/**
 * The rumours that this node knows, merged by union.
 *
 * A fact about a VM lives for a time since it was last seen at its source and is then forgotten everywhere at about the same moment;
 * without that, a fleet that replaces a thousand VMs a day would carry every one of them for ever. Of the configuration versions only
 * the highest is kept, with the first few nodes that hand it out: were each of 400 nodes to tell each version, that alone would take the
 * whole budget for control traffic.
 */
class FactSet
{
public:
    static constexpr std::size_t MaxHolders = 3;
    /** For an upstream's leaving, since the VM list showed it last. */
    static constexpr Duration UpstreamLifetime = Duration::seconds(900);
    /** For what is said of one start of a node: as long as the longest key lives. */
    static constexpr Duration NodeLifetime = Duration::seconds(86'400);

    /** Takes @p rumour in. Returns whether it was news. */
    bool merge(const AgedRumour &rumour, Time now);
    /** Whether @p vm is leaving under @p incarnation. */
    bool isLeaving(const std::string &vm, Incarnation incarnation) const;
    /** All facts that are young enough to be told to others. */
    std::vector<AgedRumour> all(Time now) const;
    /** Forgets what is past its lifetime. Returns whether anything was. */
    bool expire(Time now);
    const BucketDigests &digests() const;

private:
    void toggle(const Rumour &rumour);
    bool mergeConfig(const ConfigFact &fact);

    // By the rumour's name; the moment is when it was first told.
    absl::btree_map<std::string, std::pair<Rumour, Time>> m_facts;
    std::vector<ConfigFact> m_holders;
    BucketDigests m_digests {};
};

/** A name that only equal rumours share. */
std::string rumourName(const Rumour &rumour);

} // namespace ApricotStep
