#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** An idempotency key: names the node and incarnation that may run the request, and when the key was issued. */
struct IdempotencyKey
{
    NodeId node;
    Incarnation incarnation;
    /**
     * When the key was issued, on the steady clock of its node: it is only compared with times of the same incarnation. With a wall clock
     * that steps back, an expired key, whose ledger entry is removed, would become valid again and its request could run twice.
     */
    Time mintedAt;
    std::uint64_t counter = 0;

    /** The key as text for callers, signed with the fleet's secret. */
    std::string encode(std::string_view secret) const;
    /** Parses a key. Fails with KeyInvalid for any text that encode() did not produce with @p secret. */
    static Result<IdempotencyKey> decode(std::string_view text, std::string_view secret);
};

} // namespace ApricotStep
