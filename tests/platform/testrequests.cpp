#include "platform/requests.h"

#include <absl/strings/ascii.h>

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace ApricotStep::Platform;

namespace
{

HttpRequest requestWith(HttpHeaders headers)
{
    HttpRequest request;
    request.target = "/p/x?y=1";
    request.headerList = std::move(headers);
    for (const auto &[name, value] : request.headerList) {
        request.headers[absl::AsciiStrToLower(name)] = value;
    }
    return request;
}

UpstreamBinding bindingWith(const std::string &version, int priority, const std::string &lastEventId)
{
    UpstreamBinding binding;
    binding.upstream = UpstreamId("u");
    binding.adapterVersion = AdapterVersion(version);
    binding.deadline = Duration(800);
    binding.priority = priority;
    binding.lastEventId = lastEventId;
    return binding;
}

int count(const HttpHeaders &headers, const std::string &name)
{
    return static_cast<int>(
        std::count_if(headers.begin(), headers.end(), [&name](const auto &header) { return absl::AsciiStrToLower(header.first) == name; }));
}

} // namespace

Test(requests, callerHeadersAreDecoded)
{
    const auto decoded =
        decodeCallerRequest(requestWith({ { "Host", "h" }, { "Apricotstep-Request-Id", "r" }, { "Apricotstep-Deadline-Ms", "500" },
            { "Apricotstep-Model", "m/a7" }, { "Apricotstep-Token-Count", "1460,80" }, { "Last-Event-Id", "12" } }));
    cr_assert(decoded.id == "r" && decoded.path == "/p/x" && decoded.lastEventId == "12");
    cr_assert(*decoded.deadline == Duration(500));
    cr_assert(decoded.generation->model == BaseModelId("m") && decoded.generation->adapter == AdapterId("a7"));
    cr_assert_eq(decoded.generation->promptTokens, 1460);
}

// Invalid numbers in a caller's headers must count as missing, and huge ones must be limited so that sums of times do not overflow.
Test(requests, invalidNumbersCountAsMissing)
{
    cr_assert_not(decodeCallerRequest(requestWith({ { "Apricotstep-Deadline-Ms", "-5" } })).deadline.has_value());
    cr_assert_not(decodeCallerRequest(requestWith({ { "Apricotstep-Deadline-Ms", "soon" } })).deadline.has_value());
    cr_assert_leq(
        decodeCallerRequest(requestWith({ { "Apricotstep-Deadline-Ms", "9223372036854775807" } })).deadline->milliseconds(), 86'400'000);
    const auto decoded = decodeCallerRequest(requestWith(
        { { "Apricotstep-Model", "m" }, { "Apricotstep-Token-Count", "many,few" }, { "Apricotstep-Prompt-Prefix", "a:x,b:3,c:9" } }));
    cr_assert(decoded.generation->sharedPrefix.empty() && decoded.generation->sharedTokens == 0);
    const auto named =
        decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" }, { "Apricotstep-Prompt-Prefix", "a:800,b:410,c:250" } }));
    cr_assert(named.generation->sharedPrefix == "a:800,b:410" && named.generation->sharedTokens == 1210);
    cr_assert_eq(decoded.generation->promptTokens, 0);
}

// A hint that is no positive number of tokens must not be taken for a short answer.
Test(requests, lengthHintIsDecoded)
{
    const auto hintOf = [](const std::string &text) {
        return decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" }, { "Apricotstep-Length-Hint", text } }))
            .generation->lengthHint;
    };
    cr_assert(hintOf("294") == 294U);
    for (const char *text : { "", "0", "-5", "many", "12,13", "1.5", "99999999999" }) {
        cr_assert_not(hintOf(text).has_value(), "%s", text);
    }
    cr_assert_not(decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" } })).generation->lengthHint.has_value());
}

// An unreadable number of tokens in the last part, which no request shares, would hide the parts that others share.
Test(requests, lastPromptPartNeedsNoTokens)
{
    const auto decoded =
        decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" }, { "Apricotstep-Prompt-Prefix", "a:800,b:410,c:x" } }));
    cr_assert(decoded.generation->sharedPrefix == "a:800,b:410" && decoded.generation->sharedTokens == 1210);
    cr_assert(decoded.generation->promptParts == std::vector<std::string>({ "a", "b", "c" }));
    const auto single = decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" }, { "Apricotstep-Prompt-Prefix", "a:800" } }));
    cr_assert(single.generation->sharedPrefix.empty() && single.generation->promptParts == std::vector<std::string>({ "a" }));
    cr_assert(decodeCallerRequest(requestWith({ { "Apricotstep-Model", "m" } })).generation->promptParts.empty());
}

// Headers that only the system may set must be removed from a caller's request in any spelling, and those that bind the request to its
// upstream must be present exactly once.
Test(requests, systemHeadersOfCallerAreReplaced)
{
    const HttpRequest request = requestWith({ { "Host", "h" }, { "APRICOTSTEP-HOLD", "x" }, { "Apricotstep-Pin-Ms", "1" },
        { "Apricotstep-Kv-Backup", "1.2.3.4:1" }, { "kv-from", "1" }, { "Apricotstep-Expect-Instance", "other" },
        { "Apricotstep-Request-Priority", "0" }, { "Apricotstep-Deadline-Ms", "99999" }, { "Apricotstep-Expect-Version", "9" },
        { "Apricotstep-Model", "m/a" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "Transfer-Encoding", "chunked" } });
    const HttpHeaders sent = upstreamHeaders(request, bindingWith("2", 3, ""));
    for (const char *removed :
        { "apricotstep-hold", "apricotstep-pin-ms", "apricotstep-kv-backup", "kv-from", "x-hop", "connection", "transfer-encoding" }) {
        cr_assert_eq(count(sent, removed), 0, "%s", removed);
    }
    for (const auto &[name, value] : HttpHeaders { { "apricotstep-expect-instance", "u" }, { "apricotstep-expect-version", "2" },
             { "apricotstep-deadline-ms", "800" }, { "apricotstep-request-priority", "3" } }) {
        cr_assert_eq(count(sent, name), 1, "%s", name.c_str());
        const auto at =
            std::find_if(sent.begin(), sent.end(), [&name = name](const auto &h) { return absl::AsciiStrToLower(h.first) == name; });
        cr_assert(at->second == value);
    }
}

Test(requests, upstreamAnswerIsDecoded)
{
    const auto refused = decodeUpstreamAnswer(503, { { "apricotstep-not-run", "1" }, { "apricotstep-request-id", "r" } });
    cr_assert(refused.isNotRun && refused.requestId == "r");
    cr_assert(decodeUpstreamAnswer(421, {}).isNotRun);
    cr_assert_not(decodeUpstreamAnswer(503, {}).isNotRun);
    const auto answer = decodeUpstreamAnswer(
        200, { { "apricotstep-server-seal", "s" }, { "connection", "close" }, { "content-length", "3" }, { "x-own", "1" } });
    cr_assert(answer.isSealed);
    cr_assert_eq(answer.callerHeaders.size(), 2, "the seal and the upstream's own header are forwarded, connection headers are not");
    cr_assert(decodeUpstreamAnswer(200, { { "content-encoding", "gzip" } }).isEncoded);
}

// Guards against an unreadable limit that is taken for a limit of zero, which would end all work at the upstream.
Test(requests, upstreamLimitIsDecoded)
{
    const auto limitOf = [](const std::string &text) { return decodeUpstreamAnswer(200, { { "server-limit", text } }).requestLimit; };
    cr_assert(limitOf("1.2") == 1.2 && limitOf("0") == 0.0 && limitOf("40") == 40.0);
    for (const char *invalid : { "", "few", "-1", "inf", "nan", "1;2" }) {
        cr_assert_not(limitOf(invalid), "%s", invalid);
    }
    cr_assert_not(decodeUpstreamAnswer(200, {}).requestLimit);
}

Test(requests, leavingUpstreamIsDecoded)
{
    cr_assert(decodeUpstreamAnswer(200, { { "server-leaving", "1" } }).isLeaving);
    cr_assert_not(decodeUpstreamAnswer(200, { { "server-leaving", "0" } }).isLeaving);
    cr_assert_not(decodeUpstreamAnswer(503, {}).isLeaving);
}

// Guards against an unreadable time of rest, which must neither fail the answer nor keep the upstream without work for good.
Test(requests, restThatAnUpstreamAsksForIsDecoded)
{
    const auto restOf = [](int status, const std::string &text) {
        return decodeUpstreamAnswer(status, { { "retry-after", text } }).retryAfter;
    };
    cr_assert(restOf(503, "3") == Duration(3000) && restOf(503, "0.25") == Duration(250));
    for (const char *none : { "", "soon", "-1", "0", "nan" }) {
        cr_assert(restOf(503, none) == Duration(0), "%s", none);
    }
    cr_assert(restOf(503, "1e300") <= Duration::seconds(86'400));
    cr_assert(restOf(200, "3") == Duration(0));
}

Test(requests, callersKeyIsDecoded)
{
    const auto keyOf = [](HttpHeaders headers) { return decodeCallerRequest(requestWith(std::move(headers))).key; };
    cr_assert(std::holds_alternative<NoKey>(keyOf({})));
    cr_assert(std::get<KeyDigest>(keyOf({ { "Authorization", "Token abc" } })) == KeyDigest::of("abc"));
    cr_assert(std::get<KeyDigest>(keyOf({ { "AUTHORIZATION", "tOKEN  abc" } })) == KeyDigest::of("abc"));
}

// Guards against credentials that one part of the system reads as one key and another part as a different one.
Test(requests, ambiguousCredentialsAreNoKey)
{
    const auto isInvalid = [](HttpHeaders headers) {
        return std::holds_alternative<InvalidKey>(decodeCallerRequest(requestWith(std::move(headers))).key);
    };
    cr_assert(isInvalid({ { "Authorization", "" } }));
    cr_assert(isInvalid({ { "Authorization", "abc" } }));
    cr_assert(isInvalid({ { "Authorization", "Token " } }));
    cr_assert(isInvalid({ { "Authorization", "Bearer abc" } }));
    cr_assert(isInvalid({ { "Authorization", "Token abc def" } }));
    cr_assert(isInvalid({ { "Authorization", "Token abc\x01" } }));
    cr_assert(isInvalid({ { "Authorization", "Token " + std::string(600, 'a') } }));
    cr_assert(isInvalid({ { "Authorization", "Token abc" }, { "authorization", "Token abc" } }));
}

// Guards against an upstream that sees a caller's key, or a team that the caller chose itself.
Test(requests, upstreamGetsTheTeamAndNeverTheKey)
{
    const HttpRequest request = requestWith({ { "Authorization", "Token abc" }, { "AUTHORIZATION", "Token abc" },
        { "Apricotstep-Tenant", "other" }, { "APRICOTSTEP-TENANT", "another" }, { "X-Own", "v" } });
    UpstreamBinding binding;
    binding.upstream = UpstreamId("u");
    binding.team = TeamName("mine");
    binding.hidesCredentials = true;
    const HttpHeaders sent = upstreamHeaders(request, binding);
    cr_assert(count(sent, "authorization") == 0 && count(sent, "apricotstep-tenant") == 1 && count(sent, "x-own") == 1);
    for (const auto &[name, value] : sent) {
        cr_assert(value.find("abc") == std::string::npos);
        cr_assert(absl::AsciiStrToLower(name) != "apricotstep-tenant" || value == "mine");
    }
    // Where nodes know no teams, the credentials are meant for the upstream.
    cr_assert_eq(count(upstreamHeaders(request, UpstreamBinding()), "authorization"), 2);
    cr_assert_eq(count(upstreamHeaders(request, UpstreamBinding()), "apricotstep-tenant"), 0);
}

// Guards against a request whose stated size cannot be counted towards its team's limit.
Test(requests, invalidTokenCountsAreDetected)
{
    const auto decoded = [](HttpHeaders headers) { return decodeCallerRequest(requestWith(std::move(headers))); };
    cr_assert_eq(*decoded({ { "Apricotstep-Token-Count", "1460,80" } }).tokens, 1540);
    cr_assert(!decoded({}).tokens && !decoded({}).hasInvalidTokens);
    for (const char *text : { "", "5", "1,2,3", "-1,5", "1,x", "99999999999,1" }) {
        cr_assert(decoded({ { "Apricotstep-Token-Count", text } }).hasInvalidTokens);
    }
    cr_assert(decoded({ { "Apricotstep-Token-Count", "1,1" }, { "apricotstep-token-count", "9,9" } }).hasInvalidTokens);
}
