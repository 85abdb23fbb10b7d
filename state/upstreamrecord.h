#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ApricotStep
{

/** A base model that an engine holds, with the adapters that it holds for it. */
struct LoadedModel
{
    BaseModelId id;
    /** Adapters by name, each with the version that is in place; the version is empty where the engine names none. */
    std::vector<AdapterKey> adapters;

    bool operator==(const LoadedModel &) const = default;
};

/** What one start of an upstream says of itself. */
struct UpstreamRecord
{
    UpstreamId id;
    ServiceName service;
    /** IP number and port. */
    std::string address;
    ZoneId zone;
    /** Requests that it works on at once; at least 1. */
    int slots = 1;
    /** It has announced that it leaves. */
    bool isLeaving = false;
    /** When this start began, Unix ms by its own clock. Tells two starts under one id apart; never orders them. */
    std::int64_t startedAt = 0;
    /** Base models in place; empty for a plain service. */
    std::vector<LoadedModel> models;

    bool operator==(const UpstreamRecord &) const = default;

    bool hasModel(const BaseModelId &model) const
    {
        for (const LoadedModel &held : models) {
            if (held.id == model) {
                return true;
            }
        }
        return false;
    }
};

} // namespace ApricotStep
