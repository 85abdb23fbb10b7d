#include "main/configcheck.h"
#include "main/configcheckcommand.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const std::string Clean = R"({"version":8,"routes":[
 {"name":"r1","host":"h.example","pathPrefix":"/p/","kind":"stream","timeoutMs":5000,"targetLatencyMs":600,"service":"llm","gapAimMs":250},
 {"name":"r2","host":"h.example","pathPrefix":"/q/","kind":"idempotent","timeoutMs":1000,"service":"api"}],
 "services":[{"name":"api","maxConns":192},
 {"name":"llm","engine":{"kvCapacity":232000,"weightsMb":67100,"adapterSlots":8,
  "models":[{"name":"m","weightsMb":65500,"adapterMb":40}]}}],
 "tenants":[{"name":"t1","apiKeys":["secret-1"],"unit":"request","ratePerS":5,"burst":2}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos, "no '%s'", from.c_str());
    return text.replace(at, from.size(), to);
}

/** The findings for the clean configuration with one replacement, as "severity field" lines. */
std::string findings(const std::string &text)
{
    std::string lines;
    for (const ConfigFinding &finding : checkConfiguration(text, std::nullopt).findings) {
        cr_assert_not(finding.message.empty());
        lines += (finding.severity == FindingSeverity::Error ? "error " : "warning ") + finding.field + "\n";
    }
    return lines;
}

void expectFinding(const std::string &from, const std::string &to, const std::string &expected)
{
    const std::string found = findings(replaced(Clean, from, to));
    cr_assert(found == expected + "\n", "'%s' instead of '%s'", found.c_str(), expected.c_str());
}

/** A file that is removed at the end of the test. */
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path("/tmp/apricotstep-configcheck-" + std::to_string(getpid()) + "-" + std::to_string(++s_count) + ".json")
    {
        std::ofstream(m_path, std::ios::binary) << text;
    }
    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    static inline int s_count = 0;
    std::string m_path;
};

struct Run
{
    int code = 0;
    std::string out;
    std::string errors;
};

Run run(const ConfigCheckOptions &options)
{
    std::ostringstream out;
    std::ostringstream errors;
    const int code = runConfigCheck(options, out, errors);
    return { code, out.str(), errors.str() };
}

} // namespace

Test(configcheck, cleanConfigurationHasNoFindings)
{
    cr_assert(findings(Clean).empty());
    const TemporaryFile file(Clean);
    const Run result = run({ file.path(), "", false, true });
    cr_assert_eq(result.code, 0);
    cr_assert(
        result.out.find("version 8, routes=2 services=2 teams=1, errors=0 warnings=0") != std::string::npos, "%s", result.out.c_str());
}

// Entries that nodes accept, and that have no effect or contradict each other, must be named with their field.
Test(configcheck, eachContradictionIsAWarning)
{
    expectFinding("\"host\":\"h.example\"", "\"host\":\"h.example:443\"", "warning routes[0].host");
    expectFinding("/p/", "/p?a/", "warning routes[0].pathPrefix");
    expectFinding("\"timeoutMs\":5000", "\"timeoutMs\":500", "warning routes[0].timeoutMs");
    expectFinding("\"gapAimMs\":250", "\"gapAimMs\":5001", "warning routes[0].gapAimMs");
    expectFinding("\"r2\"", "\"r1\"", "warning routes[1].name");
    expectFinding("\"service\":\"api\"", "\"service\":\"llm\"", "warning services[0].name");
    expectFinding("{\"name\":\"api\"", "{\"name\":\"api\"},{\"name\":\"api\"", "warning services[1].name");
    expectFinding("\"adapterSlots\":8", "\"adapterSlots\":0", "warning services[1].engine.adapterSlots");
    expectFinding("\"kvCapacity\":232000", "\"kvCapacity\":0", "warning services[1].engine.kvCapacity");
    expectFinding("\"weightsMb\":67100", "\"weightsMb\":65000", "warning services[1].engine.models[0].weightsMb");
    expectFinding("\"adapterMb\":40", "\"adapterMb\":1700", "warning services[1].engine.models[0].adapterMb");
    expectFinding("[\"secret-1\"]", "[]", "warning tenants[0].apiKeys");
    expectFinding("\"ratePerS\":5,\"burst\":2", "\"ratePerS\":0,\"burst\":0", "warning tenants[0].ratePerS");
}

// Nodes ignore fields that they do not know, so a misspelled one silently leaves the default in force.
Test(configcheck, misspelledFieldIsNamedWithWhatIsMeant)
{
    expectFinding("\"gapAimMs\"", "\"gapAimMS\"", "warning routes[0].gapAimMS");
    expectFinding("\"targetLatencyMs\"", "\"targetLatencyMss\"", "warning routes[0].targetLatencyMss");
    expectFinding("\"maxConns\"", "\"maxCons\"", "warning services[0].maxCons");
    expectFinding("\"adapterSlots\":8", "\"adapterSlots\":8,\"loadPerS\":2", "warning services[1].engine.loadPerS");
    expectFinding("\"adapterMb\":40", "\"adapterMb\":40,\"LoadS\":2", "warning services[1].engine.models[0].LoadS");
    expectFinding("\"burst\":2", "\"brust\":2", "warning tenants[0].brust");
    expectFinding("\"version\":8", "\"version\":8,\"limit\":{}", "warning limit");
    expectFinding("\"version\":8", "\"version\":8,\"limits\":{\"maxBodyBites\":5}", "warning limits.maxBodyBites");
    const auto found = checkConfiguration(replaced(Clean, "\"gapAimMs\"", "\"gapAimMS\""), std::nullopt).findings;
    cr_assert(found.at(0).message.find("'gapAimMs'") != std::string::npos, "%s", found.at(0).message.c_str());
    cr_assert(findings(replaced(Clean, "\"version\":8", "\"version\":8,\"comment\":\"x\",\"x\":1")).empty(), "other fields are no fault");
    cr_assert(findings(replaced(Clean, "\"adapterSlots\":8", "\"adapterSlots\":8,\"moves\":true,\"hostMb\":5")).empty(),
        "short names of their own");
}

// The decoder stops at its first error. An operator must learn of all of them at once, or each publication fails for the next one.
Test(configcheck, allErrorsAreReportedWithTheirEntries)
{
    std::string text = replaced(Clean, "\"timeoutMs\":5000", "\"timeoutMs\":1e300");
    text = replaced(text, "\"idempotent\"", "\"poem\"");
    text = replaced(text, "\"maxConns\":192", "\"maxConns\":\"many\"");
    text = replaced(text, "[\"secret-1\"]", "[17]");
    text = replaced(text, "\"version\":8", "\"version\":0");
    std::string found = findings(text);
    cr_assert(found == "error routes[0]\nerror routes[1]\nerror services[0]\nerror tenants[0]\nerror version\n", "%s", found.c_str());
    text = replaced(replaced(Clean, "/p/", "p"), "\"service\":\"api\"", "\"service\":\"nowhere\"");
    found = findings(text);
    cr_assert(found == "error routes[0]\nerror routes[1]\n", "%s", found.c_str());
    expectFinding("/q/", "/p/", "error routes");
    expectFinding("\"tenants\":[", R"("tenants":[{"name":"t2","apiKeys":["secret-1"]},)", "error tenants");
    expectFinding("\"version\":8,", "", "error version");
}

// A file that is not a configuration must end the check with a clear error, and never the process or with a success.
Test(configcheck, badInputIsAnError)
{
    const std::string nested = std::string(200000, '[') + std::string(200000, ']');
    for (const std::string &text : { std::string(), std::string(" \n"), std::string("\0\xff", 2), std::string("[]"), std::string("null"),
             std::string("7"), std::string("{}"), Clean.substr(0, Clean.size() / 2), replaced(Clean, "5000", "1e999"),
             replaced(Clean, "5000", "99999999999999999999999"), replaced(Clean, "\"tenants\":[", "\"tenants\":3,\"x\":["),
             replaced(Clean, "\"version\":8", "\"version\":[]"), replaced(Clean, "{\"name\":\"api\"", "17,{\"name\":\"api\""),
             replaced(Clean, "\"version\":8", "\"version\":8,\"x\":" + nested), nested }) {
        const TemporaryFile file(text);
        for (const bool isJson : { false, true }) {
            const Run result = run({ file.path(), "", isJson, false });
            cr_assert_eq(result.code, 2, "%.100s", text.c_str());
            cr_assert(result.out.find("error") != std::string::npos);
        }
    }
    cr_assert_eq(run({ "/nowhere/c.json", "", false, false }).code, 2);
    cr_assert(run({ "/nowhere/c.json", "", true, false }).errors.find("/nowhere/c.json: cannot be read") != std::string::npos);
    cr_assert_eq(run({ "/tmp", "", false, false }).code, 2);
    const auto truncated = checkConfiguration("{\"version\":8,\n\"routes\":", std::nullopt);
    cr_assert(
        truncated.findings[0].message.find("line 2, column 10 (the end") != std::string::npos, "%s", truncated.findings[0].message.c_str());
}

// Every truncation and every changed byte of a configuration must give a report.
Test(configcheck, damagedTextNeverEndsTheProcess)
{
    for (std::size_t i = 0; i < Clean.size(); ++i) {
        cr_assert_gt(checkConfiguration(std::string_view(Clean).substr(0, i), std::nullopt).count(FindingSeverity::Error), 0);
        for (const char byte : { '\0', '"', '9', '{', ']', '\xff' }) {
            std::string text = Clean;
            text[i] = byte;
            checkConfiguration(text, Clean);
        }
    }
}

Test(configcheck, warningsChangeTheExitCodeOnRequestOnly)
{
    const TemporaryFile file(replaced(Clean, "\"gapAimMs\":250", "\"gapAimMs\":5001"));
    cr_assert_eq(run({ file.path(), "", false, false }).code, 0);
    cr_assert_eq(run({ file.path(), "", false, true }).code, 1);
}

Test(configcheck, differencesNameFieldsInOperatorTerms)
{
    std::string text = replaced(Clean, "\"version\":8", "\"version\":9");
    text = replaced(text, "\"timeoutMs\":5000", "\"timeoutMs\":4000");
    text = replaced(text, "\"r2\"", "\"r3\"");
    text = replaced(text, "\"adapterMb\":40", "\"adapterMb\":50");
    text = replaced(text, "[\"secret-1\"]", "[\"secret-2\",\"secret-3\"]");
    text = replaced(text, "\"tenants\"", "\"limits\":{\"maxBodyBytes\":5},\"tenants\"");
    const TemporaryFile inForce(Clean);
    const TemporaryFile file(text);
    const Run result = run({ file.path(), inForce.path(), false, true });
    cr_assert_eq(result.code, 0, "%s", result.out.c_str());
    for (const char *line : { "changed route 'r1': timeoutMs 5000 -> 4000\n", "removed route 'r2'\n", "added route 'r3'\n",
             "changed service 'llm': engine.models['m'].adapterMb 40 -> 50\n", "changed team 't1': apiKeys 1 -> 2 (2 new)\n",
             "changed limits: maxBodyBytes 4194304 -> 5\n" }) {
        cr_assert(result.out.find(line) != std::string::npos, "no '%s' in %s", line, result.out.c_str());
    }
    const auto json = nlohmann::json::parse(run({ file.path(), inForce.path(), true, false }).out);
    cr_assert_eq(json["differences"].size(), 6);
    cr_assert_eq(json["version"], 9);
    cr_assert(checkConfiguration(Clean, Clean).differences.empty());
}

// Nodes ignore a version that is not above the one in force, so such a publication would have no effect.
Test(configcheck, versionThatNodesIgnoreIsAWarning)
{
    const auto report = checkConfiguration(replaced(Clean, "\"timeoutMs\":5000", "\"timeoutMs\":4000"), Clean);
    cr_assert_eq(report.findings.size(), 1);
    cr_assert_str_eq(report.findings[0].field.c_str(), "version");
    cr_assert_eq(run({ TemporaryFile(Clean).path(), "/nowhere/c.json", false, false }).code, 2);
    const auto broken = checkConfiguration(Clean, "{");
    cr_assert_eq(broken.count(FindingSeverity::Error), 1);
}

// Reports are kept and shared; a key in one would have to be replaced.
Test(configcheck, keysAreNeverPrinted)
{
    const TemporaryFile inForce(Clean);
    for (const std::string &text :
        { replaced(Clean, "[\"secret-1\"]", "[\"secret-9\", 1]"), replaced(Clean, "[\"secret-1\"]", "[\"secret-9]"),
            replaced(Clean, "[\"secret-1\"]", "[\"secret-9\" 1]"), replaced(Clean, "[\"secret-1\"]", "\"secret-9\""),
            replaced(Clean, "secret-1", "secret-9"), replaced(Clean, "[\"secret-1\"]", "[{\"secret-9\":1}]"),
            replaced(Clean, "\"tenants\":[", R"("tenants":[{"name":"t2","apiKeys":["secret-1"]},)") }) {
        const TemporaryFile file(text);
        for (const bool isJson : { false, true }) {
            const Run result = run({ file.path(), inForce.path(), isJson, false });
            cr_assert((result.out + result.errors).find("secret") == std::string::npos, "%s", result.out.c_str());
        }
    }
}

// check-config has always checked catalogs; scripts that pass one must go on working.
Test(configcheck, catalogIsCheckedByName)
{
    const Run missing = run({ "/nowhere/catalog.ini", "", false, false });
    cr_assert_eq(missing.code, 2);
    cr_assert(missing.errors.find("catalog.ini:0: cannot be read") != std::string::npos, "%s", missing.errors.c_str());
    cr_assert_eq(run({ "/nowhere/catalog.ini", "", true, false }).code, 2);
}
