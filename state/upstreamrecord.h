#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ApricotStep
{

/** A base model that an engine has loaded, with its loaded adapters. */
struct LoadedModel
{
    BaseModelId id;
    /** Adapters with their loaded versions; a version is empty if the engine reports none. */
    std::vector<AdapterKey> adapters;

    bool operator==(const LoadedModel &) const = default;
};

/** The record that one start of an upstream publishes about itself. */
struct UpstreamRecord
{
    UpstreamId id;
    ServiceName service;
    /** IP address and port. */
    std::string address;
    ZoneId zone;
    /** Empty if the upstream does not state it. */
    SoftwareVersion softwareVersion;
    /** Number of requests that it processes at the same time; at least 1. */
    int slots = 1;
    /** The upstream has announced that it is leaving. */
    bool isLeaving = false;
    /** Start time in Unix milliseconds by the upstream's own clock. Distinguishes starts under one id, but must not order them. */
    std::int64_t startedAt = 0;
    /** Loaded base models; empty for a plain service. */
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
