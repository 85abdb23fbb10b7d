#include "protocol/callerapi.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(callerapi, parsesKnownFieldsAndKeepsTheOthers)
{
    const std::string body = R"({"model":"shop=accra","stream":true,"max_tokens":9,"temperature":0.5})";
    const auto request = parseCompletionRequest(body);
    cr_assert(request.isOk());
    cr_assert(request.value().selector == "shop=accra");
    cr_assert(request.value().isStream);
    cr_assert_eq(request.value().maxTokens, 9);
    const auto forwarded = nlohmann::json::parse(withModel(body, { AdapterId("ramen"), AdapterVersion("1") }));
    cr_assert(forwarded["model"] == "ramen@1");
    cr_assert(forwarded["temperature"] == 0.5);
}

Test(callerapi, malformedBodiesAreRejectedWithADetail)
{
    for (const char *body :
        { "", "{", "[]", "{}", R"({"model":7})", R"({"model":"a","stream":"yes"})", R"({"model":"a","max_tokens":0})" }) {
        const auto request = parseCompletionRequest(body);
        cr_assert_not(request.isOk(), "%s", body);
        cr_assert(request.error().kind == ErrorKind::BadRequest);
        cr_assert_not(request.error().detail.empty());
    }
}

// A caller's body that was nested very deeply ended the node when it was written again with the adapter's name.
Test(callerapi, bodyThatIsNestedTooDeepIsRejected)
{
    constexpr std::size_t Levels = 400'000;
    const auto request = parseCompletionRequest(R"({"model":"a","x":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}");
    cr_assert_not(request.isOk());
    cr_assert(request.error().detail.find("64 levels") != std::string::npos);
}

Test(callerapi, errorBodyStatesWhetherTheRequestRan)
{
    const auto body = nlohmann::json::parse(errorBody(ErrorKind::Overloaded, { "queue is full", Duration(1500), {}, {}, "r1" }));
    cr_assert(body["error"]["code"] == "overloaded");
    cr_assert(body["error"]["not_run"] == true);
    cr_assert(body["error"]["retry_after_ms"] == 1500);
    cr_assert(nlohmann::json::parse(errorBody(ErrorKind::StreamCut, {}))["error"]["not_run"] == false);
}
