#include "coordination/configassembler.h"

namespace ApricotStep
{

namespace
{

// A node that is further behind starts from the base. At 300 bytes each, this many changes take less than a tenth of one page.
constexpr std::size_t MaxChangesBehind = 256;
// Bounds the walk through a history that never reaches its base.
constexpr std::size_t MaxChainLength = 4096;

} // namespace

ConfigAssembler::ConfigAssembler(ConfigHead head, std::shared_ptr<const Catalog> current, std::string currentDelta)
    : m_head(std::move(head))
    , m_current(std::move(current))
    , m_currentDelta(std::move(currentDelta))
    , m_isFromBase(m_current == nullptr)
{
}

const ConfigHead &ConfigAssembler::head() const
{
    return m_head;
}

std::variant<MissingValue, AssemblyResult> ConfigAssembler::next()
{
    if (m_isBaseOnly) {
        return readBase();
    }
    const ConfigVersion reached = m_deltas.empty() ? m_head.version : m_deltas.back().change.from;
    const std::string &wanted = m_deltas.empty() ? m_head.deltaHash : m_deltas.back().previous;
    if (!m_isFromBase && reached == m_current->version()) {
        if (m_currentDelta.empty() || wanted == m_currentDelta) {
            return build(m_current);
        }
        m_isForked = true;
    } else if (!m_isFromBase && reached < m_current->version()) {
        m_isForked = true;
    }
    m_isFromBase = m_isFromBase || m_isForked || m_deltas.size() >= MaxChangesBehind || wanted.empty();
    if (m_isFromBase && reached <= m_head.baseVersion) {
        return readBase();
    }
    if (wanted.empty() || m_deltas.size() >= MaxChainLength) {
        return failed(
            "the chain of changes back to base version " + std::to_string(m_head.baseVersion.value()) + " is incomplete or too long");
    }
    return MissingValue { ConfigValueKind::Delta, wanted };
}

std::variant<MissingValue, AssemblyResult> ConfigAssembler::readBase()
{
    if (!m_base) {
        return MissingValue { ConfigValueKind::Base, m_head.baseHash };
    }
    if (m_pages.size() < m_base->pages.size()) {
        return MissingValue { ConfigValueKind::Page, m_base->pages[m_pages.size()] };
    }
    if (m_base->version != m_head.baseVersion) {
        return failed("the base has another version than the head states");
    }
    CatalogContent content;
    content.version = m_base->version;
    for (const ConfigPage &page : m_pages) {
        const CatalogContent &part = page.content;
        content.adapters.insert(content.adapters.end(), part.adapters.begin(), part.adapters.end());
        content.upstreams.insert(content.upstreams.end(), part.upstreams.begin(), part.upstreams.end());
        content.services.insert(content.services.end(), part.services.begin(), part.services.end());
    }
    auto base = Catalog::create(std::move(content));
    if (!base.isOk()) {
        return failed(base.error().detail);
    }
    return build(base.value());
}

AssemblyResult ConfigAssembler::build(std::shared_ptr<const Catalog> start) const
{
    std::shared_ptr<const Catalog> base = start->version() == m_head.baseVersion ? start : nullptr;
    for (auto delta = m_deltas.rbegin(); delta != m_deltas.rend() && !m_isBaseOnly; ++delta) {
        if (delta->change.version <= start->version()) {
            continue; // The base already contains this change.
        }
        auto following = start->apply(delta->change);
        if (!following.isOk()) {
            return failed(following.error().detail);
        }
        start = following.value();
        base = start->version() == m_head.baseVersion ? start : base;
    }
    if (!m_isBaseOnly && start->version() != m_head.version) {
        return failed("the changes lead to version " + std::to_string(start->version().value()) + " instead of the head's version");
    }
    return { std::move(start), std::move(base), m_isForked, m_isBaseOnly };
}

AssemblyResult ConfigAssembler::failed(std::string detail) const
{
    return { Error { ErrorKind::ConfigInvalid, std::move(detail) }, {}, m_isForked, m_isBaseOnly };
}

void ConfigAssembler::addValue(ConfigValue value)
{
    std::visit(Overloaded {
                   [](ConfigHead &) {},
                   [this](ConfigDelta &delta) { m_deltas.push_back(std::move(delta)); },
                   [this](ConfigBase &base) { m_base = std::move(base); },
                   [this](ConfigPage &page) { m_pages.push_back(std::move(page)); },
               },
        value);
}

bool ConfigAssembler::fallBackToBase()
{
    if (m_isBaseOnly || (m_current != nullptr && m_head.baseVersion <= m_current->version())) {
        return false;
    }
    m_isBaseOnly = true;
    return true;
}

} // namespace ApricotStep
