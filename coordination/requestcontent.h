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
    /** The adapter of a prompt, 0 if it has none. */
    ContentDigest adapter {};
    /** The parts of the prompt, in order. */
    std::vector<ContentDigest> parts {};

    bool operator==(const RequestContent &) const = default;
};

/** Something in a request that may be what upstreams end under. */
struct ContentElement
{
    enum class Kind {
        /** The whole request. */
        Request,
        /** A part of the prompt, on whatever adapter. */
        Part,
        /** A part of the prompt, on one adapter. */
        PartOnAdapter,
    };
    ContentDigest digest;
    Kind kind = Kind::Request;

    auto operator<=>(const ContentElement &) const = default;
};

std::vector<ContentElement> elementsOf(const RequestContent &content);

} // namespace ApricotStep
