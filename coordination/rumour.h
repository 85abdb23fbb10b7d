#pragma once

#include "core/strongid.h"

#include <string>
#include <variant>

namespace ApricotStep
{

// Facts that nodes exchange with their membership messages. The set of facts only grows, so they merge in any order, and late or duplicated
// ones are harmless.

/** A VM is leaving; it does not return under the same incarnation. */
struct LeavingFact
{
    /** Id of the VM: of a node or of an upstream. */
    std::string vm;
    /** Incarnation of a node; zero for an upstream. */
    Incarnation incarnation;

    auto operator<=>(const LeavingFact &) const = default;
};

/** A node has activated this configuration version and serves it to peers. */
struct ConfigFact
{
    NodeId node;
    ConfigVersion version;

    auto operator<=>(const ConfigFact &) const = default;
};

/** A node that left has handed over its ledger of one-time requests to another one. */
struct HandOffFact
{
    NodeId node;
    Incarnation incarnation;
    NodeId successor;

    auto operator<=>(const HandOffFact &) const = default;
};

using Rumour = std::variant<LeavingFact, ConfigFact, HandOffFact>;

} // namespace ApricotStep
