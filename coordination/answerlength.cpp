#include "coordination/answerlength.h"

#include <absl/container/node_hash_map.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace ApricotStep
{

namespace
{

// Lengths are counted in bins of equal width on a logarithmic scale, so that a bin is about 19% wide for short and for long answers.
constexpr int BinsPerOctave = 4;
// Lengths up to 65,536 events; longer ones count as that.
constexpr std::size_t LengthBins = 16 * BinsPerOctave + 1;
// Hints and maximums up to about a million tokens; higher ones count as that.
constexpr std::size_t StatedBins = 20 * BinsPerOctave + 1;
// The ratio of any length to any stated number of tokens.
constexpr std::size_t RatioBins = LengthBins + StatedBins - 1;
// An answer is counted in the bins up to this far from its own, to estimate a smooth distribution from few answers.
constexpr int KernelWidth = 3;
// Answers counted in each bin of a ratio from the start. Ratios that have not been seen stay possible, so one wrong hint decides nothing.
constexpr double RatioPrior = 0.1;
// The lowest probability at which a prediction is scored, so that one surprising answer does not outweigh all others.
constexpr double MinScoredProbability = 1e-3;
// In units of the score. Bounds the number of answers until hints that have become wrong lose their weight.
constexpr double MaxScoreLead = 6;
// Until this many answers are learned, a request's maximum bounds its estimate: an event holds at least one token.
constexpr std::uint64_t AnswersUntilLearned = 10;
constexpr double HighQuantile = 0.9;

using Lengths = std::array<double, LengthBins>;
using Ratios = std::array<double, RatioBins>;

// Bits of a set: what a prediction uses besides the lengths on the route.
enum Source : std::size_t {
    Hint = 1,
    Maximum = 2,
    SourceSets = 4,
};

double positionOf(std::uint64_t value, std::size_t bins)
{
    return std::min(std::log2(static_cast<double>(std::max<std::uint64_t>(value, 1))) * BinsPerOctave, static_cast<double>(bins - 1));
}

double valueAt(double position)
{
    return std::exp2(position / BinsPerOctave);
}

/** Calls @p visit with each of @p Size bins that an answer at @p position counts in, and its share there. The sum of the shares is 1. */
template<std::size_t Size, typename Visit>
void visitKernel(double position, const Visit &visit)
{
    const int first = static_cast<int>(std::floor(position)) - KernelWidth + 1;
    for (int bin = first; bin <= first + 2 * KernelWidth - 1; ++bin) {
        const double share = (KernelWidth - std::abs(bin - position)) / (KernelWidth * KernelWidth);
        visit(static_cast<std::size_t>(std::clamp(bin, 0, static_cast<int>(Size) - 1)), std::max(share, 0.0));
    }
}

template<std::size_t Size>
void count(std::array<double, Size> &bins, double position, double kept)
{
    for (double &bin : bins) {
        bin *= kept;
    }
    visitKernel<Size>(position, [&bins](std::size_t bin, double share) { bins[bin] += share; });
}

template<std::size_t Size>
double sumOf(const std::array<double, Size> &bins)
{
    return std::accumulate(bins.begin(), bins.end(), 0.0);
}

void normalize(Lengths &lengths)
{
    const double sum = sumOf(lengths);
    for (double &length : lengths) {
        length /= sum;
    }
}

/** What a request states about the length of its answer, as bins; unset if it states nothing. */
struct StatedLength
{
    std::optional<std::size_t> hint;
    std::optional<std::size_t> maximum;
};

std::optional<std::size_t> statedBin(std::uint32_t tokens)
{
    return tokens == 0 ? std::nullopt : std::optional(static_cast<std::size_t>(std::lround(positionOf(tokens, StatedBins))));
}

StatedLength statedLength(std::optional<std::uint32_t> hint, std::uint32_t maximum)
{
    return { statedBin(hint.value_or(0)), statedBin(maximum) };
}

// The bin of the ratio between a length and what was stated; the position of a length may lie between two bins.
template<typename Position>
Position ratioPosition(Position length, std::size_t stated)
{
    return length + static_cast<Position>(StatedBins - 1 - stated);
}

struct RouteLengths
{
    std::uint64_t answers = 0;
    /** Position of the last answer in the order of all answers of the node. */
    std::uint64_t lastAnswer = 0;
    double meanTimeMs = 0;
    Lengths lengths {};
    Ratios hintRatios {};
    Ratios maximumRatios {};
    /** How well each set of sources has predicted lengths: decaying sums of log probabilities, relative to the best. */
    std::array<double, SourceSets> scores {};

    static void applyRatios(Lengths &prediction, const Ratios &ratios, std::size_t stated)
    {
        const double sum = sumOf(ratios) + RatioPrior * RatioBins;
        for (std::size_t bin = 0; bin < LengthBins; ++bin) {
            prediction[bin] *= (ratios[ratioPosition(bin, stated)] + RatioPrior) / sum;
        }
        normalize(prediction);
    }
    /** Bayes' rule: the lengths on the route, weighted with the probability that such answers have what this request states. */
    std::array<Lengths, SourceSets> predictions(const StatedLength &stated) const
    {
        std::array<Lengths, SourceSets> result {};
        for (std::size_t sources = 0; sources < SourceSets; ++sources) {
            result[sources] = lengths;
            normalize(result[sources]);
            if ((sources & Source::Hint) != 0 && stated.hint) {
                applyRatios(result[sources], hintRatios, *stated.hint);
            }
            if ((sources & Source::Maximum) != 0 && stated.maximum) {
                applyRatios(result[sources], maximumRatios, *stated.maximum);
            }
        }
        return result;
    }
    /** The predictions of all sets of sources, each weighted by its score. */
    Lengths mixedPrediction(const StatedLength &stated) const
    {
        Lengths mixed {};
        const auto all = predictions(stated);
        for (std::size_t sources = 0; sources < SourceSets; ++sources) {
            const double weight = std::exp(scores[sources]);
            for (std::size_t bin = 0; bin < LengthBins; ++bin) {
                mixed[bin] += weight * all[sources][bin];
            }
        }
        normalize(mixed);
        return mixed;
    }
    void updateScores(const StatedLength &stated, double position, double kept)
    {
        const auto all = predictions(stated);
        for (std::size_t sources = 0; sources < SourceSets; ++sources) {
            double probability = 0;
            visitKernel<LengthBins>(position, [&](std::size_t bin, double share) { probability += share * all[sources][bin]; });
            scores[sources] = scores[sources] * kept + std::log(std::max(probability, MinScoredProbability));
        }
        const double best = *std::max_element(scores.begin(), scores.end());
        for (double &score : scores) {
            score = std::max(score - best, -MaxScoreLead);
        }
    }
};

AnswerLength summarize(const Lengths &prediction)
{
    AnswerLength length;
    double sum = 0;
    bool isHighKnown = false;
    for (std::size_t bin = 0; bin < LengthBins; ++bin) {
        const auto position = static_cast<double>(bin);
        length.expected += prediction[bin] * valueAt(position);
        const double above = sum + prediction[bin] - HighQuantile;
        if (!isHighKnown && above >= 0) {
            // A bin reaches half a bin to each side of its position.
            length.high = valueAt(position + 0.5 - above / prediction[bin]);
            isHighKnown = true;
        }
        sum += prediction[bin];
    }
    return length;
}

} // namespace

struct AnswerLengthModel::Private
{
    AnswerLengthLimits limits;
    std::uint64_t answers = 0;
    absl::node_hash_map<std::string, RouteLengths> routes;

    const RouteLengths *find(const std::string &route) const
    {
        const auto at = routes.find(route);
        return at == routes.end() ? nullptr : &at->second;
    }
    RouteLengths &findOrAdd(const std::string &route)
    {
        if (!routes.contains(route) && routes.size() >= limits.maxRoutes) {
            routes.erase(std::min_element(
                routes.begin(), routes.end(), [](const auto &a, const auto &b) { return a.second.lastAnswer < b.second.lastAnswer; }));
        }
        return routes[route];
    }
};

AnswerLengthModel::AnswerLengthModel(AnswerLengthLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

AnswerLengthModel::~AnswerLengthModel() = default;
AnswerLengthModel::AnswerLengthModel(AnswerLengthModel &&) noexcept = default;
AnswerLengthModel &AnswerLengthModel::operator=(AnswerLengthModel &&) noexcept = default;

void AnswerLengthModel::onAnswer(
    const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maximum, std::uint64_t events, Duration time)
{
    if (events == 0) {
        return;
    }
    RouteLengths &learned = d->findOrAdd(route);
    learned.lastAnswer = ++d->answers;
    // Decay by answers and not by time: on a route with few requests, old answers are the best evidence there is.
    const double kept = 1 - 1 / d->limits.memoryAnswers;
    const double position = positionOf(events, LengthBins);
    const StatedLength stated = statedLength(hint, maximum);
    if (learned.answers > 0) {
        learned.updateScores(stated, position, kept);
    }
    ++learned.answers;
    count(learned.lengths, position, kept);
    if (stated.hint) {
        count(learned.hintRatios, ratioPosition(position, *stated.hint), kept);
    }
    if (stated.maximum) {
        count(learned.maximumRatios, ratioPosition(position, *stated.maximum), kept);
    }
    const double share = 1 / std::min(static_cast<double>(learned.answers), d->limits.memoryAnswers);
    learned.meanTimeMs += (static_cast<double>(std::max(time, Duration(0)).milliseconds()) - learned.meanTimeMs) * share;
}

std::optional<AnswerLength> AnswerLengthModel::estimate(
    const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maximum) const
{
    const RouteLengths *learned = d->find(route);
    if (learned == nullptr) {
        return std::nullopt;
    }
    AnswerLength length = summarize(learned->mixedPrediction(statedLength(hint, maximum)));
    if (learned->answers < AnswersUntilLearned && maximum > 0) {
        length.expected = std::min(length.expected, static_cast<double>(maximum));
        length.high = std::min(length.high, static_cast<double>(maximum));
    }
    return length;
}

std::optional<Duration> AnswerLengthModel::expectedAnswerTime(const std::string &route) const
{
    const RouteLengths *learned = d->find(route);
    return learned == nullptr ? std::nullopt : std::optional(Duration(std::llround(learned->meanTimeMs)));
}

std::size_t AnswerLengthModel::routeCount() const
{
    return d->routes.size();
}

} // namespace ApricotStep
