#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** What a minted idempotency key says: which start of which node may run the request, and since when. */
struct IdempotencyKey
{
    NodeId node;
    Incarnation incarnation;
    /**
     * When it was minted, on that node's steady clock: only the same incarnation ever judges it, and a wall clock that steps back would
     * bring an expired key, whose entry is gone, back to life and let it run twice.
     */
    Time mintedAt;
    std::uint64_t counter = 0;

    /** The key as callers carry it, signed with the fleet's secret. */
    std::string encode(std::string_view secret) const;
    /** Errors: KeyInvalid for anything that encode() did not make under @p secret. */
    static Result<IdempotencyKey> decode(std::string_view text, std::string_view secret);
};

} // namespace ApricotStep
