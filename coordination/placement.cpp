#include "coordination/placement.h"

#include "coordination/rendezvous.h"
#include "core/hash.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <map>

namespace ApricotStep
{

namespace
{

// Engines of the same weight, so that their hashes alone determine the order. The hashes are stored separately since the search reads
// nothing else.
struct Group
{
    std::vector<std::uint64_t> hashes;
    std::vector<Candidate> members;
};

// Keeps the greatest values offered so far, greatest first.
class TopValues
{
public:
    void offer(std::uint64_t value, std::size_t position)
    {
        if (value <= m_smallest) {
            return;
        }
        std::size_t at = m_count < m_entries.size() ? m_count++ : m_count - 1;
        for (; at > 0 && m_entries[at - 1].value < value; --at) {
            m_entries[at] = m_entries[at - 1];
        }
        m_entries[at] = { value, position };
        m_smallest = m_count == m_entries.size() ? m_entries.back().value : 0;
    }

    struct Entry
    {
        std::uint64_t value = 0;
        std::size_t position = 0;
    };
    const Entry *begin() const
    {
        return m_entries.data();
    }
    const Entry *end() const
    {
        return m_entries.data() + m_count;
    }

private:
    std::array<Entry, Placement::MaxCandidates> m_entries;
    std::size_t m_count = 0;
    std::uint64_t m_smallest = 0;
};

struct Scored
{
    double score = 0;
    const Candidate *candidate = nullptr;
};

void finishGroup(Group &group)
{
    std::sort(
        group.members.begin(), group.members.end(), [](const Candidate &a, const Candidate &b) { return a.upstream->id < b.upstream->id; });
    group.hashes.reserve(group.members.size());
    for (const Candidate &member : group.members) {
        group.hashes.push_back(stableHash(member.upstream->id.value()));
    }
}

bool isBefore(const Scored &a, const Scored &b)
{
    return a.score != b.score ? a.score > b.score : a.candidate->upstream->id < b.candidate->upstream->id;
}

} // namespace

struct Placement::Private
{
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const FleetView> fleet;
    absl::flat_hash_map<ZoneId, std::vector<NodeView>> nodesByZone;
    // By base model and number of slots. The members of a group are sorted by id.
    absl::flat_hash_map<BaseModelId, std::map<int, Group>> models;

    const NodeView *owner(const UpstreamSpec &upstream) const
    {
        const auto inZone = nodesByZone.find(upstream.zone);
        return ownerOf(upstream.id, upstream.zone, inZone == nodesByZone.end() ? fleet->nodes : inZone->second);
    }
};

Placement::Placement(std::shared_ptr<const Catalog> catalog, std::shared_ptr<const FleetView> fleet)
    : d(std::make_unique<Private>())
{
    d->catalog = std::move(catalog);
    d->fleet = std::move(fleet);
    for (const NodeView &node : d->fleet->nodes) {
        d->nodesByZone[node.zone].push_back(node);
    }
    for (const UpstreamSpec &upstream : d->catalog->upstreams()) {
        if (upstream.kind != UpstreamKind::Engine || d->fleet->leaving.contains(upstream.id)) {
            continue;
        }
        const NodeView *owner = d->owner(upstream);
        if (owner != nullptr) {
            d->models[upstream.baseModel][upstream.slots].members.push_back({ &upstream, owner });
        }
    }
    // Positions break ties between equal hashes, so they must not depend on the order in which the catalog was written.
    for (auto &[model, groups] : d->models) {
        for (auto &[slots, group] : groups) {
            finishGroup(group);
        }
    }
}

Placement::~Placement() = default;

std::vector<Candidate> Placement::candidates(const AdapterKey &adapter) const
{
    const auto model = d->models.find(d->catalog->baseModelOf(adapter));
    if (model == d->models.end()) {
        return {};
    }
    const std::uint64_t adapterHash = stableHash(adapter.name());
    std::vector<Scored> scored;
    scored.reserve(MaxCandidates * model->second.size());
    for (const auto &[slots, group] : model->second) {
        TopValues best;
        for (std::size_t i = 0; i < group.hashes.size(); ++i) {
            best.offer(mixHashes(adapterHash, group.hashes[i]), i);
        }
        for (const TopValues::Entry &entry : best) {
            scored.push_back({ rendezvousScore(entry.value, slots), &group.members[entry.position] });
        }
    }
    std::sort(scored.begin(), scored.end(), isBefore);
    std::vector<Candidate> candidates;
    candidates.reserve(MaxCandidates);
    for (std::size_t i = 0; i < std::min(scored.size(), MaxCandidates); ++i) {
        candidates.push_back(*scored[i].candidate);
    }
    return candidates;
}

bool Placement::isBuiltFrom(const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet) const
{
    return d->catalog == catalog && d->fleet == fleet;
}

} // namespace ApricotStep
