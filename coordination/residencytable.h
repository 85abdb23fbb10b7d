#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <vector>

namespace ApricotStep
{

/** One adapter of one base model. */
struct AdapterRef
{
    BaseModelId model;
    AdapterId adapter;

    auto operator<=>(const AdapterRef &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const AdapterRef &ref)
    {
        return H::combine(std::move(state), ref.model, ref.adapter);
    }
};

/**
 * Where copies of adapters stand, as the holder of the orders says; before it has spoken, as the engines' entries say. Not thread-safe.
 *
 * A row of an earlier holder or an earlier count never replaces a later one: datagrams overtake each other, and a copy that was dropped
 * meanwhile would get requests again.
 */
class ResidencyTable
{
public:
    /** Whether @p residency was news. */
    bool put(const EngineResidency &residency);
    /** The engine refused the adapter: the row is wrong until a later one comes. */
    void markMissing(const UpstreamId &engine, const AdapterRef &adapter);
    void remove(const UpstreamId &engine);

    /** The copy of @p adapter at the engine of @p record, if it has one in place or on its way. */
    std::optional<AdapterCopy> copy(const UpstreamRecord &record, const AdapterRef &adapter) const;
    /** Null when no holder has spoken of this start of the engine. */
    const EngineResidency *residency(const UpstreamRecord &record) const;

private:
    absl::btree_map<UpstreamId, EngineResidency> m_residencies;
    absl::btree_map<std::pair<UpstreamId, AdapterRef>, bool> m_missing;
};

} // namespace ApricotStep
