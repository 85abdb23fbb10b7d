#pragma once

#include "core/clock.h"

#include <optional>

namespace ApricotStep
{

// An operator withdraws a key, and a node does not learn of it: it is cut off, paused, rejected by the store, or the store is down or has
// dropped its history. If that node kept accepting the key for as long as it knew nothing newer, a stolen key would work for the length of
// the disruption. Therefore a node knows for each moment up to when its configuration is certain to be the newest: the time at which a read
// was sent that the store then answered, never the time of the answer. A peer passes its own time on as an age, which the receiver counts
// from when it sent its request, so that a delay on the way makes the configuration seem older and never newer. A key that was withdrawn
// without the node's knowledge was withdrawn after that time. So a node that accepts keys only for less than the bound after that time
// keeps the bound, and the check at the arrival of a request is sufficient: what happens to the request later does not change when the
// caller sent it.

/** For how long after its last proof of currency a node may accept callers' keys. */
class RevocationBound
{
public:
    /** @p bound: time after the confirmation of a withdrawal from which no node may accept the key; unset accepts known keys always. */
    explicit RevocationBound(std::optional<Duration> bound);

    bool isSet() const
    {
        return m_bound.has_value();
    }
    /** Whether a node whose configuration was the newest at @p knownAt may accept keys at @p now. */
    bool allowsKeys(Time knownAt, Time now) const;
    /** Whether callers should be sent to the node. Ends sooner than allowsKeys(), since callers keep addresses for a while. */
    bool allowsListing(Time knownAt, Time now) const;
    /** The age from which a node asks a peer for what that has read; unset if there is no bound. */
    std::optional<Duration> refreshAge() const;
    /** Time within which a change must be noticed by a node that reads the store, at most @p changeBound. */
    Duration readBound(Duration changeBound) const;

private:
    std::optional<Duration> m_bound;
};

} // namespace ApricotStep
