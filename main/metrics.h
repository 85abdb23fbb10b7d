#pragma once

#include "coordination/workitem.h"
#include "core/errors.h"
#include "state/servicelevel.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** The metrics of a node; the operator port shows them in Prometheus' text format. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Also counts the results below in @p levels, which must outlive this object. Only before other threads use this object. */
    void setServiceLevels(ServiceLevels &levels, const Clock &clock);

    /**
     * A completion succeeded. @p stall: how long it waited for its adapter. @p firstToken, @p total: time from its arrival to the first
     * byte and to the end of the answer.
     */
    void completionServed(Priority priority, Duration stall, Duration firstToken, Duration total);
    void completionFailed(Priority priority, ErrorKind kind);
    /** A plain service answered with @p status, @p took after the call's arrival. A 5xx is a failure; a 4xx is the caller's mistake. */
    void serviceCall(const std::string &service, int status, Duration took);
    /** A call to a plain service ended without an answer of the service. */
    void serviceFailed(const std::string &service, ErrorKind kind);
    void adapterLoad(bool isLoaded, Duration took);
    void eviction(bool isEvicted);
    /** @p outcome: tried, unreachable or too_many_hops. */
    void forward(const std::string &outcome);
    void setConfigVersion(std::uint64_t version);
    /** A configuration was not activated as published. @p reason: a name from configProblemName(). */
    void configRefused(const std::string &reason);
    void lateAnswerDropped();
    /** A call is retried. @p pool: the traffic that shares its retry budget. */
    void retry(const std::string &pool);
    void ejection(const std::string &upstream);

    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
