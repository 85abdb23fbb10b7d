#pragma once

#include "core/strongid.h"

#include <string>
#include <variant>

namespace ApricotStep
{

// Facts that nodes tell each other with their membership messages. Each only grows, so that they merge in any order and a late or
// doubled one does no harm.

/** A VM is leaving; it never comes back under the same start. */
struct LeavingFact
{
    /** The VM's id: a node's or an upstream's. */
    std::string vm;
    /** The start of a node; zero for an upstream. */
    Incarnation incarnation;

    auto operator<=>(const LeavingFact &) const = default;
};

/** A node has this configuration version in force and hands it out. */
struct ConfigFact
{
    NodeId node;
    ConfigVersion version;

    auto operator<=>(const ConfigFact &) const = default;
};

/** A node that left has handed its ledger of one-time requests to another. */
struct HandOffFact
{
    NodeId node;
    Incarnation incarnation;
    NodeId successor;

    auto operator<=>(const HandOffFact &) const = default;
};

using Rumour = std::variant<LeavingFact, ConfigFact, HandOffFact>;

} // namespace ApricotStep
