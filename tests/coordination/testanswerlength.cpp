#include "coordination/answerlength.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <iterator>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::uint32_t TokensPerEvent = 6;
constexpr std::uint32_t Maximum = 2'000;

using Random = std::mt19937_64;
/** Returns the hint of a request whose answer has that many events. */
using Hints = std::function<std::optional<std::uint32_t>(std::uint64_t events, Random &random)>;

std::uint64_t drawLength(Random &random)
{
    return static_cast<std::uint64_t>(std::ceil(std::lognormal_distribution<double>(std::log(40), 0.7)(random)));
}

std::uint32_t rightHint(std::uint64_t events)
{
    return static_cast<std::uint32_t>(events) * TokensPerEvent;
}

double logUniform(double octaves, Random &random)
{
    return std::exp2(std::uniform_real_distribution<double>(-octaves, octaves)(random));
}

struct Errors
{
    /** Mean of the logarithm of the error's factor. */
    double withHints = 0;
    double routeOnly = 0;
    double shareBelowHigh = 0;
};

/** Feeds two models with the same answers, one of them with hints, and compares them over the answers after the first @p learned. */
Errors compare(const Hints &hints, int learned, int answers, unsigned seed)
{
    AnswerLengthModel withHints { AnswerLengthLimits {} };
    AnswerLengthModel routeOnly { AnswerLengthLimits {} };
    Random random(seed);
    Errors errors;
    for (int i = 0; i < answers; ++i) {
        const std::uint64_t events = drawLength(random);
        const auto hint = hints(events, random);
        if (i >= learned) {
            const auto estimate = withHints.estimate("r", hint, Maximum);
            const double share = 1.0 / (answers - learned);
            const auto length = static_cast<double>(events);
            errors.withHints += share * std::abs(std::log(estimate->expected / length));
            errors.routeOnly += share * std::abs(std::log(routeOnly.estimate("r", std::nullopt, 0)->expected / length));
            errors.shareBelowHigh += length <= estimate->high ? share : 0;
        }
        withHints.onAnswer("r", hint, Maximum, events, Duration(0));
        routeOnly.onAnswer("r", std::nullopt, 0, events, Duration(0));
    }
    return errors;
}

} // namespace

// Guards against estimates that ignore a hint that is right at the median and often far off.
Test(answerlength, hintThatIsMostlyRightHelps)
{
    for (unsigned seed = 0; seed < 10; ++seed) {
        const Errors errors = compare(
            [](std::uint64_t events, Random &random) {
                const double factor = random() % 4 == 0 ? logUniform(6, random) : logUniform(0.3, random);
                return static_cast<std::uint32_t>(std::ceil(rightHint(events) * factor));
            },
            200, 1'200, seed);
        cr_expect_lt(errors.withHints, 0.6 * errors.routeOnly, "seed %u: %f of %f", seed, errors.withHints, errors.routeOnly);
        cr_expect(errors.shareBelowHigh > 0.84 && errors.shareBelowHigh < 0.97, "seed %u: %f", seed, errors.shareBelowHigh);
    }
}

// Guards against hints that make the estimate worse than none, whatever callers send, also after a time of right ones.
Test(answerlength, wrongHintsDoNotHarm)
{
    const Hints kinds[] = {
        [](std::uint64_t events, Random &random) {
            return static_cast<std::uint32_t>(std::ceil(rightHint(events) * logUniform(10, random)));
        },
        [](std::uint64_t, Random &random) { return static_cast<std::uint32_t>(std::ceil(logUniform(20, random))); },
        [](std::uint64_t, Random &random) { return rightHint(drawLength(random)); },
        [](std::uint64_t events, Random &) { return static_cast<std::uint32_t>(1'000'000 / events); },
        [](std::uint64_t, Random &) { return UINT32_MAX; },
        [](std::uint64_t, Random &) { return 0U; },
        [](std::uint64_t, Random &random) { return random() % 2 == 0 ? 1U : UINT32_MAX; },
        [](std::uint64_t events, Random &) { return rightHint(events) * 1'000; },
    };
    const auto expectNoHarm = [](const Errors &errors, double margin, std::size_t kind) {
        cr_expect_lt(errors.withHints, margin * errors.routeOnly, "kind %zu: %f of %f", kind, errors.withHints, errors.routeOnly);
    };
    for (std::size_t run = 0; run < 10 * std::size(kinds); ++run) {
        const std::size_t kind = run % std::size(kinds);
        const auto seed = static_cast<unsigned>(run / std::size(kinds));
        expectNoHarm(compare(kinds[kind], 1, 100, seed), 1.03, kind);
        expectNoHarm(compare(kinds[kind], 200, 1'200, seed), 1.01, kind);
        int answers = 0;
        const Hints thatBecomeWrong = [&](std::uint64_t events, Random &random) {
            return ++answers <= 300 ? std::optional(rightHint(events)) : kinds[kind](events, random);
        };
        expectNoHarm(compare(thatBecomeWrong, 300, 800, seed), 1.03, kind);
    }
}

// After a start, code that uses the estimate must be able to tell that there is none, and ten answers must be enough for a useful one.
Test(answerlength, learnsFromTenAnswers)
{
    AnswerLengthModel model { AnswerLengthLimits {} };
    cr_assert_not(model.estimate("r", 600, Maximum).has_value());
    cr_assert_not(model.expectedAnswerTime("r").has_value());
    model.onAnswer("r", std::nullopt, 0, 0, Duration(5));
    cr_assert_not(model.estimate("r", std::nullopt, 0).has_value());
    model.onAnswer("r", std::nullopt, 0, 100, Duration(1'000));
    cr_expect_eq(model.estimate("r", std::nullopt, 40)->high, 40);
    for (int i = 0; i < 9; ++i) {
        model.onAnswer("r", std::nullopt, 0, 100, Duration(2'000));
    }
    const auto estimate = model.estimate("r", std::nullopt, 40);
    cr_expect(estimate->expected > 95 && estimate->expected < 105, "%f", estimate->expected);
    cr_expect(estimate->high > 100 && estimate->high < 140, "%f", estimate->high);
    cr_expect_eq(model.expectedAnswerTime("r")->milliseconds(), 1'900);
}

// Guards against state that grows with the number of routes of a configuration, and against forgetting routes in use.
Test(answerlength, manyRoutesAreBounded)
{
    AnswerLengthModel model { AnswerLengthLimits {} };
    for (int i = 0; i < 5'000; ++i) {
        model.onAnswer("used", std::nullopt, 0, 9, Duration(100));
        model.onAnswer("r" + std::to_string(i), std::nullopt, 0, 49, Duration(100));
    }
    cr_expect_eq(model.routeCount(), AnswerLengthLimits {}.maxRoutes);
    cr_expect_lt(model.estimate("used", std::nullopt, 0)->expected, 10);
    cr_expect_not(model.estimate("r0", std::nullopt, 0).has_value());
    cr_expect(model.estimate("r4999", std::nullopt, 0).has_value());
}

// Guards against estimates that keep to the lengths of former demand.
Test(answerlength, followsChangedDemand)
{
    AnswerLengthModel model { AnswerLengthLimits {} };
    for (int i = 0; i < 10'000; ++i) {
        model.onAnswer("r", 54, 100, 9, Duration(200));
    }
    for (int i = 0; i < 400; ++i) {
        model.onAnswer("r", 294, 300, 49, Duration(2'000));
    }
    for (const auto hint : { std::optional<std::uint32_t>(294), std::optional<std::uint32_t>() }) {
        const auto estimate = model.estimate("r", hint, 300);
        cr_expect(estimate->expected > 44 && estimate->expected < 54, "%f", estimate->expected);
    }
    cr_expect_gt(model.expectedAnswerTime("r")->milliseconds(), 1'900);
}

// Lengths and stated numbers outside of the range of the model must not leave it in a state without a valid estimate.
Test(answerlength, extremeValuesGiveValidEstimates)
{
    constexpr std::uint32_t Stated[] = { 0, 1, 3, 70'000, UINT32_MAX };
    AnswerLengthModel model { AnswerLengthLimits {} };
    Random random(1);
    for (int i = 0; i < 5'000; ++i) {
        const std::uint64_t events = random() >> (random() % 64);
        model.onAnswer("r", Stated[random() % 5], Stated[random() % 5], events, Duration(static_cast<std::int64_t>(random() % 1'000) - 10));
        if (const auto estimate = model.estimate("r", Stated[random() % 5], Stated[random() % 5])) {
            cr_assert(estimate->expected >= 1 && estimate->expected <= 65'537, "%f", estimate->expected);
            cr_assert(estimate->high >= 0.9 && estimate->high <= 80'000, "%f", estimate->high);
        }
    }
}
