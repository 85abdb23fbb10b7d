#include "main/catalogini.h"
#include "main/checkcommand.h"
#include "main/configstore.h"
#include "main/packcommand.h"
#include "main/valuedirectory.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const std::string ValidCatalog = "[adapters]\nlessons@1 = shop=accra, track=stable\n[adapters llama]\nkitchen@1 = track=stable\n"
                                 "[upstream e1]\naddress = 127.0.0.1:1\nzone = a\nbase_model = llama\nchecks = fencing, keys\n"
                                 "[upstream p1]\nkind = service\naddress = 127.0.0.1:2\n[service payments]\nupstreams = p1\n";

class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string name = (std::filesystem::temp_directory_path() / "packXXXXXX").string();
        m_path = mkdtemp(name.data());
    }
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(m_path);
    }
    std::string operator/(const std::string &name) const
    {
        return m_path + "/" + name;
    }

private:
    std::string m_path;
};

void write(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

bool hasError(const std::string &text, const std::string &part)
{
    const auto content = parseCatalogIni(text, "c.ini");
    return !content.isOk() && content.error().detail.find(part) != std::string::npos;
}

ConfigHead headOf(const std::string &path)
{
    return std::get<ConfigHead>(ValueDirectory(path).read(ConfigValueKind::Head, {}).value());
}

} // namespace

Test(catalogini, validCatalogIsParsed)
{
    const auto content = parseCatalogIni(ValidCatalog, "c.ini");
    cr_assert(content.isOk());
    cr_assert(content.value().adapters[1].baseModel == BaseModelId("llama"));
    cr_assert(content.value().upstreams[0].checksFencing && content.value().upstreams[0].checksKeys);
    cr_assert(content.value().upstreams[1].kind == UpstreamKind::Service);
}

Test(catalogini, errorsNameFileLineAndFix)
{
    cr_assert(hasError("[adapters]\nlessons = track=x\n", "c.ini:2: 'lessons' has no version; write it as id@version"));
    cr_assert(hasError("[adapters]\na@1 = stable\n", "c.ini:2: label 'stable' of 'a@1' has no value; write it as name=value"));
    cr_assert(hasError("[adapters]\na@1 =\na@1 =\n", "c.ini:3: 'a@1' stands in line 2 already; remove one"));
    cr_assert(hasError("[upstream e1]\nslots = many\n", "c.ini:2: 'slots' must be a whole number, not 'many'"));
    cr_assert(hasError("[upstream e1]\naddress = nowhere\n", "c.ini:1: upstream 'e1': address 'nowhere' is not host:port"));
    cr_assert(hasError("[upstream e1]\n", "c.ini:1: upstream 'e1': address '' is not host:port"));
    cr_assert(hasError("[upstraem e1]\n", "c.ini:1: unknown section '[upstraem e1]'"));
    cr_assert(hasError("[service s]\nupstreams = x\n", "c.ini:1: [service s] names unknown upstream 'x'; add [upstream x]"));
    cr_assert(hasError("[adapters]\n" + std::string(60, 'a') + "@1 = track=x\n", "c.ini:2: a name is longer than 49 characters"));
    cr_assert(hasError("nonsense\n", "c.ini:1: is neither"));
}

Test(catalogini, allErrorsAreReportedTogether)
{
    cr_assert(hasError("[adapters]\na = x\n[upstream e1]\nslots = many\n", "c.ini:2:"));
    cr_assert(hasError("[adapters]\na = x\n[upstream e1]\nslots = many\n", "c.ini:4:"));
}

Test(checkconfig, printsSummaryOrErrors)
{
    const TemporaryDirectory directory;
    write(directory / "c.ini", ValidCatalog);
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(checkConfig(directory / "c.ini", out, errors), 0);
    cr_assert(out.str().find("good. adapters=2 upstreams=2 services=1") != std::string::npos);
    cr_assert_eq(checkConfig(directory / "missing.ini", out, errors), 2);
    cr_assert(errors.str().find("missing.ini:0: cannot be read") != std::string::npos);
}

Test(pack, changeIsPublishedAsSmallDeltaWithNextVersion)
{
    const TemporaryDirectory directory;
    write(directory / "c.ini", ValidCatalog);
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", "" }, Time(7'000'000), out, errors), 0);
    cr_assert_eq(headOf(directory / "v").version.value(), 7000);
    write(directory / "c.ini", ValidCatalog + "[adapters]\nkitchen@2 = track=canary\n");
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", directory / "v" }, Time(1), out, errors), 0);
    const ConfigHead head = headOf(directory / "v");
    cr_assert_eq(head.version.value(), 7001);
    cr_assert_eq(head.baseVersion.value(), 7000);
    cr_assert_lt(ValueDirectory(directory / "v").text(head.deltaHash).value().size(), 300);
    const auto catalog = ValueDirectory(directory / "v").catalog().value();
    cr_assert(catalog->resolve("track=canary").value().name() == "kitchen@2");
    // An unchanged catalog gets no new version.
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", directory / "v" }, Time(1), out, errors), 0);
    cr_assert_eq(headOf(directory / "v").version.value(), 7001);
}

Test(pack, longHistoryGetsNewBaseThatNodesCanRebuild)
{
    const TemporaryDirectory directory;
    std::ostringstream out;
    std::ostringstream errors;
    std::string text = ValidCatalog;
    write(directory / "c.ini", text);
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", "" }, Time(1000), out, errors), 0);
    for (int i = 0; i < 65; ++i) {
        text += "[adapters]\nmore" + std::to_string(i) + "@1 = track=x\n";
        write(directory / "c.ini", text);
        cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", directory / "v" }, Time(1), out, errors), 0);
    }
    const ConfigHead head = headOf(directory / "v");
    cr_assert_eq(head.baseVersion.value(), 66);
    const auto catalog = ValueDirectory(directory / "v").catalog().value();
    ConfigStore store;
    store.activate(head, configBaseTexts(catalog->content()));
    cr_assert(store.find(head.baseHash).isOk());
    cr_assert_not(store.needsBase(head));
}

Test(pack, invalidCatalogIsNotPublished)
{
    const TemporaryDirectory directory;
    write(directory / "c.ini", "[service s]\nupstreams = x\n");
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", "" }, Time(1), out, errors), 2);
    cr_assert_not(ValueDirectory(directory / "v").hasHead());
    write(directory / "c.ini", ValidCatalog);
    cr_assert_eq(packConfig({ directory / "c.ini", directory / "v", directory / "v" }, Time(1), out, errors), 2);
    cr_assert(errors.str().find("has no head value") != std::string::npos);
}
