#include "coordination/factset.h"

#include "coordination/membertable.h"
#include "core/hash.h"
#include "core/result.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Facts about one incarnation of a node stay true. An upstream's VM may return under the same id, which ends its LeavingFact.
Duration lifetimeOf(const Rumour &rumour)
{
    const auto *leaving = std::get_if<LeavingFact>(&rumour);
    return leaving != nullptr && leaving->incarnation == Incarnation() ? FactSet::UpstreamLifetime : FactSet::NodeLifetime;
}

} // namespace

std::string rumourName(const Rumour &rumour)
{
    return std::visit(Overloaded {
                          [](const LeavingFact &fact) { return "l." + fact.vm + '.' + std::to_string(fact.incarnation.value()); },
                          [](const ConfigFact &fact) { return "c." + fact.node.value() + '.' + std::to_string(fact.version.value()); },
                          [](const HandOffFact &fact) {
                              return "h." + fact.node.value() + '.' + std::to_string(fact.incarnation.value()) + '.'
                                  + fact.successor.value();
                          },
                      },
        rumour);
}

void FactSet::toggle(const Rumour &rumour)
{
    const std::string name = rumourName(rumour);
    m_digests[digestBucket(name)] ^= static_cast<std::uint32_t>(stableHash(name));
}

bool FactSet::mergeConfig(const ConfigFact &fact)
{
    if (!m_holders.empty() && fact.version < m_holders.front().version) {
        return false;
    }
    if (!m_holders.empty() && fact.version > m_holders.front().version) {
        for (const ConfigFact &holder : m_holders) {
            toggle(holder);
        }
        m_holders.clear();
    }
    if (m_holders.size() >= MaxHolders || std::find(m_holders.begin(), m_holders.end(), fact) != m_holders.end()) {
        return false;
    }
    m_holders.push_back(fact);
    toggle(fact);
    return true;
}

bool FactSet::merge(const AgedRumour &rumour, Time now)
{
    if (const auto *config = std::get_if<ConfigFact>(&rumour.rumour)) {
        return mergeConfig(*config);
    }
    if (rumour.age >= lifetimeOf(rumour.rumour)) {
        return false;
    }
    const Time announcedAt = now - rumour.age;
    const auto [at, isNew] = m_facts.try_emplace(rumourName(rumour.rumour), rumour.rumour, announcedAt);
    if (!isNew) {
        at->second.second = std::max(at->second.second, announcedAt);
        return false;
    }
    toggle(rumour.rumour);
    return true;
}

bool FactSet::isLeaving(const std::string &vm, Incarnation incarnation) const
{
    return m_facts.contains(rumourName(LeavingFact { vm, incarnation }));
}

std::vector<AgedRumour> FactSet::all(Time now) const
{
    std::vector<AgedRumour> facts;
    for (const auto &[name, fact] : m_facts) {
        facts.push_back({ fact.first, now - fact.second });
    }
    for (const ConfigFact &holder : m_holders) {
        facts.push_back({ holder, Duration() });
    }
    return facts;
}

bool FactSet::expire(Time now)
{
    std::vector<std::string> old;
    for (const auto &[name, fact] : m_facts) {
        if (fact.second + lifetimeOf(fact.first) <= now) {
            old.push_back(name);
        }
    }
    for (const std::string &name : old) {
        toggle(m_facts.at(name).first);
        m_facts.erase(name);
    }
    return !old.empty();
}

const BucketDigests &FactSet::digests() const
{
    return m_digests;
}

} // namespace ApricotStep
