#pragma once

#include "coordination/workitem.h"
#include "core/errors.h"
#include "state/servicelevel.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** The counters of a node, in Prometheus' text form on the operator port. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Also counts the ends below in @p levels, which must outlive this. Before other threads use this. */
    void setServiceLevels(ServiceLevels &levels, const Clock &clock);

    /** A completion ended well. Times from its arrival: @p stall of waiting for its adapter, @p firstToken, @p total. */
    void completionServed(Priority priority, Duration stall, Duration firstToken, Duration total);
    void completionFailed(Priority priority, ErrorKind kind);
    /** A plain service answered with @p status, @p took after the call's arrival. A 5xx is bad; a 4xx is the caller's own mistake. */
    void serviceCall(const std::string &service, int status, Duration took);
    /** A call to a plain service got no answer of it. */
    void serviceFailed(const std::string &service, ErrorKind kind);
    void adapterLoad(bool isLoaded, Duration took);
    void eviction(bool isEvicted);
    /** @p outcome: tried, unreachable or too_many_hops. */
    void forward(const std::string &outcome);
    void setConfigVersion(std::uint64_t version);
    /** A configuration was not taken as published; @p reason: a word of configProblemName(). */
    void configRefused(const std::string &reason);
    void lateAnswerDropped();
    /** A call is made again; @p pool names the traffic that shares its retry budget. */
    void retry(const std::string &pool);
    void ejection(const std::string &upstream);

    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
