#pragma once

#include "core/clock.h"
#include "main/burnreport.h"
#include "main/callerfrontend.h"
#include "main/configreader.h"
#include "main/membershiprunner.h"
#include "main/metrics.h"
#include "main/servicerunner.h"
#include "main/settings.h"
#include "state/servicelevel.h"
#include "transport/peers.h"

#include <atomic>
#include <string>

namespace ApricotStep
{

/** The part of node RPC for queries between operator ports; the message is the topic, "slo" or "status". */
inline constexpr const char *OperatorPart = "operator";

/** Returns the objectives from section `[objectives]` of the settings. */
std::array<Objective, ServiceClassCount> objectivesOf(const Settings &settings);

/** The sources of the operator port; all must outlive it and the calls that it starts. */
struct OperatorParts
{
    const Settings &settings;
    const Clock &clock;
    Incarnation incarnation;
    const Metrics &metrics;
    const ServiceLevels &levels;
    const SharedSnapshot<Catalog> &catalog;
    const SharedSnapshot<FleetView> &fleet;
    const CallerFrontend &frontend;
    ServiceRunner &services;
    const ConfigReader &config;
    const MembershipRunner &membership;
    Peers &peers;
    const std::atomic<bool> &isDraining;
};

/** Answers requests on the operator port. Thread-safe. */
class OperatorPort
{
public:
    explicit OperatorPort(const OperatorParts &parts);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) const;
    /** Answers the query of another node. @p topic: slo or status. Errors: NotFound. */
    Result<std::string> answerPeer(const std::string &topic) const;

private:
    std::string statusBody() const;
    BurnReport burn() const;
    void respondBurnOfAllNodes(const std::shared_ptr<HttpExchange> &exchange) const;
    void respondStatusOfAllNodes(const std::shared_ptr<HttpExchange> &exchange) const;

    OperatorParts m_parts;
};

} // namespace ApricotStep
