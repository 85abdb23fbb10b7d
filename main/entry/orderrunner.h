#pragma once

#include "coordination/adapterplan.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "main/entry/fleetlink.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** Carries out the plans for adapters of those shards of engines that this node may give orders to. */
class OrderRunner
{
public:
    /** @p ownUses: what this node runs and waits for. */
    OrderRunner(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, FleetLink &fleet, const NodeId &self,
        const std::function<std::vector<AdapterUse>()> &ownUses);
    ~OrderRunner();

    void start();
    /** A peer said what it runs and waits for. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses);
    /** A peer said only what it waits for. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters);
    /** Something changed that the plan depends on. */
    void decideSoon();

private:
    struct Private;
    std::vector<std::shared_ptr<Private>> m_shards;
};

} // namespace ApricotStep
