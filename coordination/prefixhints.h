#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace ApricotStep
{

// Remembers which upstream has probably cached which prompt prefix.
//
// Many prompts begin alike (a manual, a template), and engines cache prefixes but report them late and incompletely. Without hints, the
// beginning of a prompt is processed again on each upstream over which its adapter is spread. If hints were trusted, requests would be sent
// to an upstream that dropped the prefix long ago. Hints therefore only decide between queues of nearly equal length, and a wrong one costs
// nothing but speed.
//
// 8,192 hints of some 100 bytes take less than a megabyte for the thirty upstreams of a node. A busy engine keeps a prefix for about two
// minutes, so an older hint is more often wrong than right.

/** The engine stored a prefix. @p sequence numbers the upstream's events consecutively. */
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

/** Which upstream probably holds which prompt prefix; bounded in size. Not thread-safe. */
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
