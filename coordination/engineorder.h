#pragma once

#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <vector>

namespace ApricotStep
{

/** An order to an engine to bring something into its memory or to drop it. */
struct EngineOrder
{
    enum class Kind {
        Load,
        Unload,
    };
    Kind kind = Kind::Load;
    BaseModelId model;
    /** Empty: the base model itself. */
    AdapterId adapter;
    /** To load this version; empty: the newest. */
    AdapterVersion version;
    UpstreamId engine;
};

/** How an engine answered an order. */
enum class OrderAnswer {
    /** It is being carried out. */
    Accepted,
    /** What it asks for is so already. */
    Done,
    /** Another order is in progress, or the adapter is in use. */
    Busy,
    /** A later holder's order came before. */
    Fenced,
    /** The engine is not the start that was meant, or does not hold the model. */
    WrongEngine,
    /** No such order, or another answer. */
    Refused,
    /** None came; it may be carried out. */
    Unknown,
};

/** What an engine reports of itself; some hundred milliseconds old. */
struct EngineReport
{
    std::vector<HeldModel> models;
    /** Adapters on their way into its memory. */
    std::vector<AdapterKey> loading;
    int waiting = 0;
    int running = 0;
    /** Tokens of memory that cannot be given up, and all. */
    double usedTokens = 0;
    double totalTokens = 0;
    /** It carries out an order for a base model. */
    bool isBusy = false;
};

} // namespace ApricotStep
