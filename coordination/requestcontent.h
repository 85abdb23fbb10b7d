#pragma once

#include "core/strongid.h"

#include <vector>

namespace ApricotStep
{

/** A digest of content that callers sent. Nodes compare, log and exchange digests only. */
using ContentDigest = StrongNumber<struct ContentDigestTag>;

/** What a request holds, apart from what differs between the attempts of its caller. */
struct RequestContent
{
    ContentDigest request;

    bool operator==(const RequestContent &) const = default;
};

/** Everything in a request that may be what upstreams end under. */
std::vector<ContentDigest> elementsOf(const RequestContent &content);

} // namespace ApricotStep
