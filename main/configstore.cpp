#include "main/configstore.h"

#include "core/hash.h"

namespace ApricotStep
{

namespace
{

// Changes older than the base are kept for lagging nodes: about half an hour of changes at 11,000 a day.
constexpr std::size_t MaxOldChanges = 256;

} // namespace

void ConfigStore::put(const ConfigValue &value, const std::string &text)
{
    if (std::holds_alternative<ConfigHead>(value)) {
        return;
    }
    std::visit([&](const auto &content) { m_values[content.hash] = text; }, value);
    if (const auto *delta = std::get_if<ConfigDelta>(&value)) {
        m_changes.emplace(delta->change.version, delta->hash);
    }
}

bool ConfigStore::needsBase(const ConfigHead &head) const
{
    return head.baseHash != m_baseHash;
}

void ConfigStore::activate(const ConfigHead &head, const std::optional<ConfigBaseTexts> &base)
{
    m_head = head.hash.empty() ? std::string() : configHeadText(head);
    if (base) {
        replaceBase(head, *base);
    }
    dropOldChanges(head.baseVersion);
}

// When the operator publishes a new base, a running node reaches it by applying a change and does not need its pages, but a node that
// starts while the service is down does. Fetching megabytes on every node for that case would cost more than all changes of a day, so the
// pages are computed from the snapshot.
void ConfigStore::replaceBase(const ConfigHead &head, const ConfigBaseTexts &base)
{
    if (sha256Hex(base.index) != head.baseHash) {
        return; // Packed by another release; keep the values that were fetched.
    }
    absl::flat_hash_map<std::string, std::string> kept;
    for (const auto &[version, hash] : m_changes) {
        kept[hash] = std::move(m_values[hash]);
    }
    for (const std::string &page : base.pages) {
        kept[sha256Hex(page)] = page;
    }
    kept[head.baseHash] = base.index;
    m_values = std::move(kept);
    m_baseHash = head.baseHash;
}

void ConfigStore::dropOldChanges(ConfigVersion base)
{
    while (m_changes.size() > MaxOldChanges && m_changes.begin()->first <= base) {
        m_values.erase(m_changes.begin()->second);
        m_changes.erase(m_changes.begin());
    }
}

Result<std::string> ConfigStore::find(const std::string &name) const
{
    if (name == ConfigHeadName && !m_head.empty()) {
        return m_head;
    }
    const auto at = m_values.find(name);
    if (at == m_values.end()) {
        return Error { ErrorKind::NotFound, "no configuration value '" + name + "' on this node" };
    }
    return at->second;
}

std::size_t ConfigStore::count() const
{
    return m_values.size() + (m_head.empty() ? 0 : 1);
}

std::size_t ConfigStore::bytes() const
{
    std::size_t bytes = m_head.size();
    for (const auto &[hash, text] : m_values) {
        bytes += text.size();
    }
    return bytes;
}

} // namespace ApricotStep
