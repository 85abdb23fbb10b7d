#include "coordination/prefixhints.h"

#include "core/hash.h"
#include "core/result.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace ApricotStep
{

namespace
{

// A sequence that is this far behind belongs to a new start of the engine; one that is closer is a late event.
constexpr std::uint64_t LateWindow = 256;

struct Source
{
    std::uint64_t lastSequence = 0;
    /** Hints of an older generation are invalid. */
    std::uint64_t generation = 0;
};

struct Hint
{
    Time at;
    std::uint64_t generation = 0;
    std::uint64_t serial = 0;
};

struct WrittenHint
{
    std::uint64_t key = 0;
    std::uint64_t serial = 0;
};

std::uint64_t hintKey(const UpstreamId &upstream, std::uint64_t prefix)
{
    return mixHashes(stableHash(upstream.value()), prefix);
}

} // namespace

struct PrefixHints::Private
{
    PrefixHintLimits limits;
    absl::flat_hash_map<UpstreamId, Source> sources;
    absl::flat_hash_map<std::uint64_t, Hint> hints;
    // In the order of writing. An entry is skipped if its hint has been written again or removed since.
    std::deque<WrittenHint> order;
    std::uint64_t nextSerial = 0;

    // Returns false for an event that arrives after a newer one of its upstream.
    bool isInOrder(const UpstreamId &upstream, std::uint64_t sequence)
    {
        Source &source = sources[upstream];
        const bool isLate = sequence <= source.lastSequence && source.lastSequence - sequence < LateWindow;
        if (isLate) {
            return false;
        }
        // A gap may hide removals, and a sequence that starts far lower indicates a restart: all earlier hints are invalid.
        if (source.lastSequence != 0 && sequence != source.lastSequence + 1) {
            ++source.generation;
        }
        source.lastSequence = sequence;
        return true;
    }
    void store(const UpstreamId &upstream, std::uint64_t prefix, Time now)
    {
        const std::uint64_t key = hintKey(upstream, prefix);
        hints[key] = { now, sources[upstream].generation, ++nextSerial };
        order.push_back({ key, nextSerial });
        while (order.size() > limits.capacity) {
            const auto oldest = hints.find(order.front().key);
            if (oldest != hints.end() && oldest->second.serial == order.front().serial) {
                hints.erase(oldest);
            }
            order.pop_front();
        }
    }
};

PrefixHints::PrefixHints(PrefixHintLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

PrefixHints::~PrefixHints() = default;
PrefixHints::PrefixHints(PrefixHints &&) noexcept = default;
PrefixHints &PrefixHints::operator=(PrefixHints &&) noexcept = default;

void PrefixHints::handle(const PrefixEvent &event, Time now)
{
    std::visit(Overloaded {
                   [&](const PrefixStored &stored) {
                       // The prefix of a late event may have been removed since; ignoring it costs only speed.
                       if (d->isInOrder(stored.upstream, stored.sequence)) {
                           d->store(stored.upstream, stored.prefix, now);
                       }
                   },
                   [&](const PrefixRemoved &removed) {
                       d->isInOrder(removed.upstream, removed.sequence);
                       d->hints.erase(hintKey(removed.upstream, removed.prefix));
                   },
                   [&](const PrefixesLost &lost) {
                       Source &source = d->sources[lost.upstream];
                       ++source.generation;
                       source.lastSequence = 0;
                   },
               },
        event);
}

bool PrefixHints::holds(const UpstreamId &upstream, std::uint64_t prefix, Time now) const
{
    const auto hint = d->hints.find(hintKey(upstream, prefix));
    const auto source = d->sources.find(upstream);
    return hint != d->hints.end() && source != d->sources.end() && hint->second.generation == source->second.generation
        && now - hint->second.at < d->limits.maxAge;
}

std::size_t PrefixHints::size() const
{
    return d->hints.size();
}

} // namespace ApricotStep
