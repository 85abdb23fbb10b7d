#pragma once

#include "core/strongid.h"

#include <string>
#include <vector>

namespace ApricotStep
{

enum class VmRole {
    Entry,
    Upstream,
};

/** One VM of the platform's VM list. The list lags behind the actual state, so nodes verify it among themselves. */
struct VmRecord
{
    std::string id;
    VmRole role = VmRole::Entry;
    ZoneId zone;
    bool leaving = false;
    /** host:port where callers reach an entry VM. */
    std::string callerAddress;
    /** host:port of an entry VM's node RPC. */
    std::string rpcAddress;
    /** host:port where an entry VM receives membership datagrams. */
    std::string membershipAddress;
};

struct VmList
{
    std::vector<VmRecord> vms;
};

} // namespace ApricotStep
