#include "coordination/fleetscope.h"

#include <utility>

namespace ApricotStep
{

Duration outOfScopeInterval(const FleetScopeLimits &limits, MessageUrgency urgency, bool isStarting)
{
    switch (urgency) {
    case MessageUrgency::Immediate:
        return Duration(0);
    case MessageUrgency::Renewal:
        return limits.outOfScopeRenewalInterval;
    case MessageUrgency::Heartbeat:
        break;
    }
    return isStarting ? limits.outOfScopeIntervalAtStart : limits.outOfScopeInterval;
}

FleetScope::FleetScope(FleetScopeLimits limits, ZoneId own)
    : m_limits(limits)
    , m_ownZone(std::move(own))
{
}

void FleetScope::update(int nodesAlive, const std::set<ZoneId> &engineZones)
{
    const bool isDivided = !m_zone.isEmpty();
    if (nodesAlive <= (isDivided ? m_limits.minDividedNodes - 1 : m_limits.maxUndividedNodes)) {
        m_zone = ZoneId();
        return;
    }
    if (engineZones.contains(m_ownZone) || engineZones.empty()) {
        m_zone = m_ownZone;
        return;
    }
    // All nodes of a zone without engines use the engines of the next zone that has some.
    const auto next = engineZones.upper_bound(m_ownZone);
    m_zone = next != engineZones.end() ? *next : *engineZones.begin();
}

const ZoneId &FleetScope::zone() const
{
    return m_zone;
}

bool FleetScope::covers(const ZoneId &engineZone) const
{
    return m_zone.isEmpty() || m_zone == engineZone;
}

bool FleetScope::isScopePeer(const ZoneId &peerZone, const ZoneId &peerScope) const
{
    return m_zone.isEmpty() || m_zone == (peerScope.isEmpty() ? peerZone : peerScope);
}

} // namespace ApricotStep
