#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace ApricotStep
{

struct TraceOptions
{
    /** The caller's request id. */
    std::string request;
    /** Files with log lines of any number of nodes; each line may have a prefix before its JSON. */
    std::vector<std::string> files;
    bool isJson = false;
};

/**
 * Prints the story of one request from the logs of many nodes, in order: its own lines, and what its node came to believe of the upstreams
 * that it was sent to, of the configuration, of the store and of who gives orders, while it lasted. Returns the process's exit code: 1 when
 * no line names the request, 2 when a file cannot be read.
 */
int traceRequest(const TraceOptions &options, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
