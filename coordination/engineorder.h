#pragma once

#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <vector>

namespace ApricotStep
{

/** An order to an engine to load or unload an adapter or a base model. */
struct EngineOrder
{
    enum class Kind {
        Load,
        Unload,
    };
    Kind kind = Kind::Load;
    BaseModelId model;
    /** Empty for the base model itself. */
    AdapterId adapter;
    /** The version to load; empty for the newest. */
    AdapterVersion version;
    UpstreamId engine;
};

/** How an engine answered an order. */
enum class OrderAnswer {
    /** The order is being carried out. */
    Accepted,
    /** The requested state holds already. */
    Done,
    /** Another order is in progress, or the adapter is in use. */
    Busy,
    /** An order of a later lease holder came before. */
    Fenced,
    /** The engine has restarted since, or does not hold the base model. */
    WrongEngine,
    /** The engine does not know the order, or gave an unexpected answer. */
    Refused,
    /** No answer came; the order may be carried out. */
    Unknown,
};

/** What an engine reports of itself; some hundred milliseconds old. */
struct EngineReport
{
    std::vector<LoadedModel> models;
    /** Adapters being loaded. */
    std::vector<AdapterKey> loading;
    int waiting = 0;
    int running = 0;
    /** Tokens of cache memory that are in use and cannot be freed, and their total. */
    double usedTokens = 0;
    double totalTokens = 0;
    /** The engine is carrying out an order for a base model. */
    bool isBusy = false;
    /** When the engine started, in Unix milliseconds; 0 if it does not say. */
    std::int64_t startedAt = 0;
};

} // namespace ApricotStep
