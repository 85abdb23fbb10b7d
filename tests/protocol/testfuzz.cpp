#include "coordination/idempotencykey.h"
#include "protocol/callerapi.h"

#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

// Callers edit examples and may send any bytes. A parser must return a value or an error for each input: a crash would fail all other
// requests on the node.

namespace
{

constexpr int Rounds = 20'000;

std::string mutated(std::string text, std::mt19937_64 &random)
{
    const int edits = 1 + static_cast<int>(random() % 6);
    for (int i = 0; i < edits; ++i) {
        const std::size_t at = text.empty() ? 0 : random() % text.size();
        switch (random() % 5) {
        case 0:
            text.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            if (!text.empty()) {
                text[at] = static_cast<char>(text[at] ^ (1 << (random() % 8)));
            }
            break;
        case 3:
            text += text.substr(at, random() % 32);
            break;
        default:
            text.insert(at, std::string(random() % 64, "[{\"\\"[random() % 4]));
        }
    }
    return text;
}

} // namespace

Test(fuzz, completionRequests)
{
    std::mt19937_64 random(1);
    const std::vector<std::string> seeds {
        R"({"model":"shop=accra,track=stable","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]})",
        R"({"model":"a@1","prompt":"\u0000\ud800","user":"x"})"
    };
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutated(seeds[static_cast<std::size_t>(i) % seeds.size()], random);
        const auto parsed = parseCompletionRequest(text);
        if (parsed.isOk()) {
            ++accepted;
            const std::string forwarded = withModel(text, { AdapterId("a"), AdapterVersion("1") });
            cr_assert(parseCompletionRequest(forwarded).isOk(), "a forwarded body must be valid as well: %s", text.c_str());
        } else {
            cr_assert(parsed.error().kind == ErrorKind::BadRequest);
            cr_assert_not(errorBody(ErrorKind::BadRequest, { text, {}, {}, {}, {} }).empty());
        }
    }
    cr_assert_gt(accepted, 0, "some inputs must be accepted");
    cr_assert_lt(accepted, Rounds);
}

Test(fuzz, idempotencyKeys)
{
    std::mt19937_64 random(2);
    const std::string secret = "a secret of the fleet";
    const std::string good = IdempotencyKey { NodeId("n1"), Incarnation(7), Time(9), 11 }.encode(secret);
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutated(good, random);
        cr_assert(text == good || !IdempotencyKey::decode(text, secret).isOk(), "a forged key was accepted: %s", text.c_str());
    }
}
