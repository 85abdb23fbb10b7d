#include "protocol/engineapi.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(engineapi, parsesLoadReport)
{
    const auto report =
        parseEngineLoadReport(R"({"loaded":["a@1","b@2"],"running":{"b@2":3,"base":1},"waiting":4,"fencing_token":65543,"other":true})");
    cr_assert(report.isOk());
    cr_assert_eq(report.value().loaded.size(), 2);
    cr_assert_eq(report.value().inUse.size(), 1, "the base model is not an adapter");
    cr_assert_eq(report.value().running, 4);
    cr_assert_eq(report.value().waiting, 4);
    cr_assert(report.value().fencingToken == FencingToken(65543));
}

Test(engineapi, rejectsMalformedLoadReports)
{
    // A restarting engine, or another server at a wrong address, may answer with something else. Reading that as "no requests are running"
    // would allow evictions.
    for (const char *text : { "", "{}", "[]", R"({"loaded":["a@1"]})", R"({"loaded":7,"running":{}})", R"({"loaded":[],"running":[1]})" }) {
        cr_assert_not(parseEngineLoadReport(text).isOk(), "%s", text);
    }
    cr_assert_not(parseEngineLoadReport(R"({"loaded":[],"running":{}})").value().fencingToken.has_value());
}

Test(engineapi, onlyConflictWithFencedMarkerCountsAsFenced)
{
    cr_assert(isFencedAnswer(409, R"({"error":"fenced"})"));
    cr_assert_not(isFencedAnswer(409, R"({"error":"no free slot"})"));
    cr_assert_not(isFencedAnswer(200, R"({"error":"fenced"})"));
}
