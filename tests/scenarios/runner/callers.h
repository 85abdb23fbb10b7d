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
    /** A whole answer. */
    Ok,
    /** Refused with an answer that says that nothing ran. */
    NotRun,
    /** Failed with an answer that says that it may have run. */
    MayHaveRun,
    /** An answer broke off, and the caller could see that it did. */
    Interrupted,
    /** No answer at all: the connection failed. */
    NoResponse,
};

/** What a caller saw of one answer. */
struct Attempt
{
    Outcome outcome = Outcome::NoResponse;
    int status = 0;
    /** The error word, when there is one. */
    std::string code;
    int retryAfterMs = 0;
    /** id@version from the answer's headers. */
    std::string adapter;
    std::string body;
    /** The connection ended well although the answer is not whole: the caller would take half for all. */
    bool isSilentlyTruncated = false;
    /** Where the chat was sent; empty when no address could be had. */
    std::string address;
    /** From the start of the request to the end of this try. */
    double endedAfter = 0;
};

/** One request of a caller with all its tries. */
struct RequestRecord
{
    std::string group;
    /** Unique text that the engine echoes and the service counts by. */
    std::string tag;
    bool isPayment = false;
    /** Adapters that would be right, id@version; empty accepts any. */
    std::vector<std::string> allowed;
    std::vector<Attempt> attempts;
    /** Time from the start to the end of the last answer. */
    double seconds = 0;

    const Attempt &lastAttempt() const
    {
        return attempts.back();
    }
};

/** Callers that behave as the examples do: they ask for an address, send, and follow the advice of a refusal. */
class Callers
{
public:
    explicit Callers(const TestCluster &cluster);
    ~Callers();

    /** One chat in the background; with node= it goes there without retries. */
    void chat(const std::string &group, const Options &options);
    /** One payment in the background; with key= under that key, with node= there without retries. */
    void pay(const std::string &group, const Options &options);
    /** Fetches a key from a node and keeps it under @p name. */
    void fetchKey(const std::string &name, const std::string &node);
    /** Requests at a rate for a while, each in its turn of a pool; chats, or payments with service=. */
    void load(const std::string &group, const Options &options);
    /** Waits until the group's requests have ended. */
    void join(const std::string &group);
    void joinAll();

    std::vector<RequestRecord> records() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Scenario
