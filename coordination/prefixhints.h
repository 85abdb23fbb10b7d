#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace ApricotStep
{

// Load pattern: many prompts that begin alike (a manual, a template), on engines that cache prefixes and tell of it late and with gaps.
// Without hints: the prompt's beginning is worked through again on each upstream of a spread adapter. With trusted ones: work would go to
// an upstream that has long dropped the prefix. So they only tip the scale between queues that are nearly equal, and a wrong one costs
// speed. Grounds for the figures: 8,192 hints of some 100 bytes are under a megabyte for a node's thirty upstreams. Two minutes is about
// how long a busy engine keeps a prefix; an older hint is more often wrong than right.

/** The engine stored a prefix. @p sequence counts the upstream's events up by one. */
struct PrefixStored
{
    UpstreamId upstream;
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
};
struct PrefixRemoved
{
    UpstreamId upstream;
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
};
/** The engine restarted or lost its cache. */
struct PrefixesLost
{
    UpstreamId upstream;
};
using PrefixEvent = std::variant<PrefixStored, PrefixRemoved, PrefixesLost>;

struct PrefixHintLimits
{
    std::size_t capacity = 8192;
    Duration maxAge = Duration::seconds(120);
};

/** Which upstream probably holds which prompt prefix. Bounded, never trusted. Not thread-safe. */
class PrefixHints
{
public:
    explicit PrefixHints(PrefixHintLimits limits);
    ~PrefixHints();
    PrefixHints(PrefixHints &&) noexcept;
    PrefixHints &operator=(PrefixHints &&) noexcept;

    void handle(const PrefixEvent &event, Time now);
    /** Whether @p upstream probably holds @p prefix. */
    bool holds(const UpstreamId &upstream, std::uint64_t prefix, Time now) const;
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
