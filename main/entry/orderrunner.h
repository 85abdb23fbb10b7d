#pragma once

#include "coordination/adapterplan.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "main/entry/fleetlink.h"
#include "main/entry/upstreamstatements.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** Executes the adapter plan of each engine shard whose lease this node holds. */
class OrderRunner
{
public:
    /** @p ownUses: the adapters that this node's requests run on and wait for. */
    OrderRunner(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, FleetLink &fleet, const NodeId &self,
        const std::function<std::vector<AdapterUse>()> &ownUses);
    ~OrderRunner();

    void start();
    /** A peer reported the adapters that its requests run on and wait for. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses);
    /** A peer reported only its pending adapters. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters);
    /** Schedules a decision after a change that the plans depend on. */
    void decideSoon();

private:
    struct Private;
    std::vector<std::shared_ptr<Private>> m_shards;
};

} // namespace ApricotStep
