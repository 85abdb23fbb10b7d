#pragma once

#include "tests/scenarios/runner/testcluster.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Scenario
{

enum class Outcome {
    /** The response is complete. */
    Ok,
    /** Rejected with an error that says that nothing ran. */
    NotRun,
    /** Failed with an error that says that the request may have run. */
    MayHaveRun,
    /** The response ended early, and the caller could detect it. */
    Interrupted,
    /** The connection failed before any response. */
    NoResponse,
};

/** The result of one attempt as the caller saw it. */
struct Attempt
{
    Outcome outcome = Outcome::NoResponse;
    int status = 0;
    /** The error code, if there is one. */
    std::string code;
    int retryAfterMs = 0;
    /** id@version from the response headers. */
    std::string adapter;
    std::string body;
    /** The connection closed cleanly although the response is incomplete, so the caller could not detect the truncation. */
    bool isSilentlyTruncated = false;
    /** Where the chat was sent; empty if the address lookup failed. */
    std::string address;
    /** Seconds from the start of the request to the end of this attempt. */
    double endedAfter = 0;
};

/** One request of a caller with all its attempts. */
struct RequestRecord
{
    std::string group;
    /** Unique text that the engine echoes and that identifies the request in the counters of the stand-ins. */
    std::string tag;
    bool isPayment = false;
    /** Adapters that may serve the request, as id@version; empty accepts any. */
    std::vector<std::string> allowed;
    std::vector<Attempt> attempts;
    /** Time from the start of the request to the end of its last attempt. */
    double seconds = 0;

    const Attempt &lastAttempt() const
    {
        return attempts.back();
    }
};

/** Callers that behave like the examples: they look up an address, send the request and retry after the delay that a rejection names. */
class Callers
{
public:
    explicit Callers(const TestCluster &cluster);
    ~Callers();

    /** Sends one chat in the background; with node= to that node and without retries. */
    void chat(const std::string &group, const Options &options);
    /** Sends one payment in the background; with node= to that node without retries, under the idempotency key named by key= if given. */
    void pay(const std::string &group, const Options &options);
    /** Requests an idempotency key from a node and stores it under @p name. */
    void fetchKey(const std::string &name, const std::string &node);
    /** Sends requests at a fixed rate for a while from a thread pool: payments with service=, chats otherwise. */
    void load(const std::string &group, const Options &options);
    /** Waits until all requests of the group have ended. */
    void join(const std::string &group);
    void joinAll();

    std::vector<RequestRecord> records() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Scenario
