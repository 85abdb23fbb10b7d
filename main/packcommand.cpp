#include "main/packcommand.h"

#include "core/hash.h"
#include "main/catalogini.h"
#include "main/valuedirectory.h"
#include "protocol/configvalues.h"
#include "state/catalogdifference.h"

#include <ostream>

namespace ApricotStep
{

namespace
{

constexpr int ErrorExit = 2;
// A starting node fetches the changes after the base one by one; at a few milliseconds each, 64 of them take well under a second.
constexpr std::size_t MaxChangesAfterBase = 64;
constexpr std::int64_t MillisecondsPerSecond = 1000;

class Packer
{
public:
    Packer(const PackOptions &options, std::ostream &out)
        : m_from(options.previous)
        , m_to(options.out)
        , m_isInPlace(options.out == options.previous)
        , m_out(out)
    {
    }

    Result<bool> packFirst(CatalogContent content, Time wallTime);
    Result<bool> packNext(CatalogContent content);

private:
    Result<bool> writeBase(const CatalogContent &content, ConfigHead &head);
    Result<bool> writeDelta(const CatalogDelta &change, const std::string &previous, ConfigHead &head);
    Result<bool> writeHead(const ConfigHead &head);
    Result<bool> copyPrevious(const std::vector<std::string> &names);

    ValueDirectory m_from;
    ValueDirectory m_to;
    bool m_isInPlace;
    std::ostream &m_out;
};

Result<bool> Packer::writeBase(const CatalogContent &content, ConfigHead &head)
{
    const ConfigBaseTexts base = configBaseTexts(content);
    for (const std::string &page : base.pages) {
        auto written = m_to.write(sha256Hex(page), page);
        if (!written.isOk()) {
            return written;
        }
    }
    head.baseVersion = content.version;
    head.baseHash = sha256Hex(base.index);
    m_out << "base " << head.baseVersion.value() << ": pages=" << base.pages.size() << "\n";
    return m_to.write(head.baseHash, base.index);
}

Result<bool> Packer::writeDelta(const CatalogDelta &change, const std::string &previous, ConfigHead &head)
{
    const std::string text = configDeltaText({ {}, previous, change });
    if (text.size() > MaxConfigValueBytes) {
        head.deltaHash.clear(); // Too large for one value, so all nodes load the new base.
        return true;
    }
    head.deltaHash = sha256Hex(text);
    m_out << "change " << change.version.value() << ": bytes=" << text.size() << "\n";
    return m_to.write(head.deltaHash, text);
}

// Written last, so that every reader of the head finds all values that it names.
Result<bool> Packer::writeHead(const ConfigHead &head)
{
    const std::string text = configHeadText(head);
    m_out << "head " << head.version.value() << ": bytes=" << text.size() << "\n";
    return m_to.write(std::string(ConfigHeadName), text);
}

Result<bool> Packer::copyPrevious(const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        const auto text = m_from.text(name);
        if (!text.isOk()) {
            return text.error();
        }
        auto written = m_to.write(name, text.value());
        if (!written.isOk()) {
            return written;
        }
    }
    return true;
}

Result<bool> Packer::packFirst(CatalogContent content, Time wallTime)
{
    ConfigHead head;
    head.version = ConfigVersion(static_cast<std::uint64_t>(wallTime.milliseconds() / MillisecondsPerSecond));
    content.version = head.version;
    const auto firstCatalog = Catalog::create(std::move(content));
    if (!firstCatalog.isOk()) {
        return firstCatalog.error();
    }
    const auto base = writeBase(firstCatalog.value()->content(), head);
    return base.isOk() ? writeHead(head) : base;
}

Result<bool> Packer::packNext(CatalogContent content)
{
    const auto previousHead = m_from.read(ConfigValueKind::Head, {});
    const auto previous = m_from.catalog();
    const auto names = m_from.names();
    if (!previousHead.isOk() || !previous.isOk() || !names.isOk()) {
        return !previousHead.isOk() ? previousHead.error() : !previous.isOk() ? previous.error() : names.error();
    }
    ConfigHead head = std::get<ConfigHead>(previousHead.value());
    content.version = head.version + ConfigVersion(1);
    const CatalogDelta change = catalogDifference(previous.value()->content(), content);
    if (!m_isInPlace) {
        auto copied = copyPrevious(names.value());
        if (!copied.isOk()) {
            return copied;
        }
    }
    if (isEmpty(change)) {
        m_out << "nothing has changed since version " << head.version.value() << "\n";
        return m_isInPlace ? Result<bool>(true) : writeHead(head);
    }
    const auto next = previous.value()->apply(change);
    if (!next.isOk()) {
        return next.error();
    }
    auto delta = writeDelta(change, head.deltaHash, head);
    if (!delta.isOk()) {
        return delta;
    }
    head.version = content.version;
    if (head.deltaHash.empty() || head.version.value() - head.baseVersion.value() > MaxChangesAfterBase) {
        auto base = writeBase(next.value()->content(), head);
        if (!base.isOk()) {
            return base;
        }
    }
    return writeHead(head);
}

} // namespace

int packConfig(const PackOptions &options, Time wallTime, std::ostream &out, std::ostream &errors)
{
    auto content = loadCatalogIni(options.in);
    if (!content.isOk()) {
        errors << content.error().detail;
        return ErrorExit;
    }
    if (!options.previous.empty() && !ValueDirectory(options.previous).hasHead()) {
        errors << options.previous << ":0: has no head value; give the directory of the last publication, or leave --previous out\n";
        return ErrorExit;
    }
    if (options.previous.empty() && ValueDirectory(options.out).hasHead()) {
        // A first publication over an existing one would discard the history, and each node would fetch the whole catalog again.
        errors << options.out << ":0: holds a publication already; add --previous " << options.out << "\n";
        return ErrorExit;
    }
    Packer packer(options, out);
    const auto packed =
        options.previous.empty() ? packer.packFirst(std::move(content.value()), wallTime) : packer.packNext(std::move(content.value()));
    if (!packed.isOk()) {
        errors << options.in << ":0: " << packed.error().detail << "\n";
        return ErrorExit;
    }
    return 0;
}

} // namespace ApricotStep
