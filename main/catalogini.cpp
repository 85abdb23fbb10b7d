#include "main/catalogini.h"

#include "main/inidocument.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>

namespace ApricotStep
{

namespace
{

constexpr std::string_view AdaptersSection = "adapters";
constexpr std::string_view UpstreamSection = "upstream";
constexpr std::string_view ServiceSection = "service";

std::vector<std::string> listOf(const std::string &value)
{
    std::vector<std::string> items;
    for (absl::string_view item : absl::StrSplit(value, ',')) {
        item = absl::StripAsciiWhitespace(item);
        if (!item.empty()) {
            items.emplace_back(item);
        }
    }
    return items;
}

class CatalogReader
{
public:
    explicit CatalogReader(IniDocument document)
        : m_document(std::move(document))
    {
    }
    Result<CatalogContent> read();

private:
    void readSection(const IniSection &section);
    void readPair(const IniPair &pair);
    void readAdapter(const IniPair &pair, const std::string &baseModel);
    void readUpstreamKey(UpstreamSpec &spec, const IniPair &pair);
    void readChecks(UpstreamSpec &spec, const IniPair &pair);
    void readNumber(int &number, const IniPair &pair);
    void checkUpstreams();
    void checkServices();

    IniDocument m_document;
    CatalogContent m_content;
    std::map<AdapterKey, int> m_adapterLines;
    std::map<std::string, int> m_keyLines;
    // Line numbers of the sections, indexed like the entries of m_content.
    std::vector<int> m_upstreamLines;
    std::vector<int> m_serviceLines;
};

std::pair<std::string_view, std::string> kindAndName(const std::string &section)
{
    const std::size_t separator = section.find(' ');
    const std::string_view kind = std::string_view(section).substr(0, separator);
    const std::string name = separator == std::string::npos ? "" : std::string(absl::StripAsciiWhitespace(section.substr(separator)));
    return { kind, name };
}

Result<CatalogContent> CatalogReader::read()
{
    for (const IniSection &section : m_document.sections) {
        readSection(section);
    }
    for (const IniPair &pair : m_document.pairs) {
        readPair(pair);
    }
    checkUpstreams();
    checkServices();
    if (m_document.errors.empty()) {
        const auto catalog = Catalog::create(m_content);
        if (!catalog.isOk()) {
            m_document.addError(m_document.lineCount, catalog.error().detail);
        }
    }
    if (!m_document.errors.empty()) {
        return Error { ErrorKind::ConfigInvalid, m_document.errors };
    }
    return std::move(m_content);
}

void CatalogReader::readSection(const IniSection &section)
{
    const auto [kind, name] = kindAndName(section.name);
    if (kind == AdaptersSection) {
        return;
    }
    if ((kind != UpstreamSection && kind != ServiceSection) || name.empty()) {
        m_document.addError(
            section.line, "unknown section '[" + section.name + "]'; use [adapters], [adapters BASE], [upstream ID] or [service NAME]");
        return;
    }
    if (kind == UpstreamSection) {
        UpstreamSpec spec;
        spec.id = UpstreamId(name);
        m_content.upstreams.push_back(spec);
        m_upstreamLines.push_back(section.line);
    } else {
        m_content.services.push_back({ ServiceName(name), {} });
        m_serviceLines.push_back(section.line);
    }
}

void CatalogReader::readPair(const IniPair &pair)
{
    const auto [kind, name] = kindAndName(pair.section);
    if (kind == AdaptersSection) {
        readAdapter(pair, name);
        return;
    }
    const auto [known, isNew] = m_keyLines.emplace(pair.section + '\n' + pair.key, pair.line);
    if (!isNew) {
        m_document.addError(pair.line,
            "'" + pair.key + "' of [" + pair.section + "] stands in line " + std::to_string(known->second) + " already; remove one");
        return;
    }
    if (kind == UpstreamSection) {
        for (UpstreamSpec &spec : m_content.upstreams) {
            if (spec.id.value() == name) {
                readUpstreamKey(spec, pair);
                return;
            }
        }
    } else if (kind == ServiceSection) {
        if (pair.key != "upstreams") {
            m_document.addError(pair.line, "unknown key '" + pair.key + "'; a service has only 'upstreams'");
            return;
        }
        for (ServiceSpec &spec : m_content.services) {
            if (spec.name.value() == name) {
                for (std::string &id : listOf(pair.value)) {
                    spec.upstreams.emplace_back(std::move(id));
                }
                return;
            }
        }
    } else if (pair.section.empty()) {
        m_document.addError(pair.line, "'" + pair.key + "' is before the first section; move it into one");
    }
}

void CatalogReader::readAdapter(const IniPair &pair, const std::string &baseModel)
{
    const std::size_t at = pair.key.find('@');
    if (at == std::string::npos) {
        m_document.addError(pair.line, "'" + pair.key + "' has no version; write it as id@version");
        return;
    }
    AdapterSpec spec;
    spec.key = { AdapterId(pair.key.substr(0, at)), AdapterVersion(pair.key.substr(at + 1)) };
    spec.baseModel = BaseModelId(baseModel);
    for (const std::string &label : listOf(pair.value)) {
        const std::size_t split = label.find('=');
        if (split == std::string::npos) {
            m_document.addError(pair.line, "label '" + label + "' of '" + pair.key + "' has no value; write it as name=value");
            return;
        }
        spec.labels.push_back({ label.substr(0, split), label.substr(split + 1) });
    }
    std::sort(spec.labels.begin(), spec.labels.end());
    const std::string specError = adapterSpecError(spec);
    if (!specError.empty()) {
        m_document.addError(pair.line, specError);
        return;
    }
    const auto [known, isNew] = m_adapterLines.emplace(spec.key, pair.line);
    if (!isNew) {
        m_document.addError(pair.line, "'" + pair.key + "' stands in line " + std::to_string(known->second) + " already; remove one");
        return;
    }
    m_content.adapters.push_back(std::move(spec));
}

void CatalogReader::readUpstreamKey(UpstreamSpec &spec, const IniPair &pair)
{
    if (pair.key == "address") {
        spec.address = pair.value;
    } else if (pair.key == "zone") {
        spec.zone = ZoneId(pair.value);
    } else if (pair.key == "base_model") {
        spec.baseModel = BaseModelId(pair.value);
    } else if (pair.key == "slots") {
        readNumber(spec.slots, pair);
    } else if (pair.key == "batch") {
        readNumber(spec.batch, pair);
    } else if (pair.key == "checks") {
        readChecks(spec, pair);
    } else if (pair.key != "kind") {
        m_document.addError(
            pair.line, "unknown key '" + pair.key + "'; an upstream has kind, address, zone, base_model, slots, batch and checks");
    } else if (pair.value == "engine" || pair.value == "service") {
        spec.kind = pair.value == "engine" ? UpstreamKind::Engine : UpstreamKind::Service;
    } else {
        m_document.addError(pair.line, "'kind' must be engine or service, not '" + pair.value + "'");
    }
}

void CatalogReader::readChecks(UpstreamSpec &spec, const IniPair &pair)
{
    for (const std::string &check : listOf(pair.value)) {
        if (check == "fencing") {
            spec.checksFencing = true;
        } else if (check == "keys") {
            spec.checksKeys = true;
        } else if (check != "none") {
            m_document.addError(pair.line, "'checks' must be none or a list of fencing and keys, not '" + check + "'");
        }
    }
}

void CatalogReader::readNumber(int &number, const IniPair &pair)
{
    if (!absl::SimpleAtoi(pair.value, &number)) {
        m_document.addError(pair.line, "'" + pair.key + "' must be a whole number, not '" + pair.value + "'");
        number = 1;
    }
}

void CatalogReader::checkUpstreams()
{
    std::map<std::string, int> lines;
    for (std::size_t i = 0; i < m_content.upstreams.size(); ++i) {
        const UpstreamSpec &spec = m_content.upstreams[i];
        const auto [known, isNew] = lines.emplace(spec.id.value(), m_upstreamLines[i]);
        if (!isNew) {
            m_document.addError(m_upstreamLines[i],
                "[upstream " + spec.id.value() + "] stands in line " + std::to_string(known->second) + " already; remove one");
            continue;
        }
        const std::string specError = upstreamSpecError(spec);
        if (!specError.empty()) {
            m_document.addError(m_upstreamLines[i], specError);
        }
    }
}

void CatalogReader::checkServices()
{
    std::map<std::string, int> lines;
    for (std::size_t i = 0; i < m_content.services.size(); ++i) {
        const ServiceSpec &spec = m_content.services[i];
        const auto [known, isNew] = lines.emplace(spec.name.value(), m_serviceLines[i]);
        if (!isNew) {
            m_document.addError(m_serviceLines[i],
                "[service " + spec.name.value() + "] stands in line " + std::to_string(known->second) + " already; remove one");
            continue;
        }
        if (spec.upstreams.empty()) {
            m_document.addError(m_serviceLines[i], "[service " + spec.name.value() + "] has no upstreams; add 'upstreams = ID, ID'");
        }
        for (const UpstreamId &id : spec.upstreams) {
            const bool isKnown =
                std::any_of(m_content.upstreams.begin(), m_content.upstreams.end(), [&](const auto &u) { return u.id == id; });
            if (!isKnown) {
                m_document.addError(m_serviceLines[i],
                    "[service " + spec.name.value() + "] names unknown upstream '" + id.value() + "'; add [upstream " + id.value() + "]");
            }
        }
    }
}

} // namespace

Result<CatalogContent> parseCatalogIni(const std::string &text, const std::string &name)
{
    return CatalogReader(parseIni(text, name)).read();
}

Result<CatalogContent> loadCatalogIni(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error { ErrorKind::ConfigInvalid, path + ":0: cannot be read (" + std::strerror(errno) + "); give a readable file\n" };
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseCatalogIni(text.str(), path);
}

} // namespace ApricotStep
