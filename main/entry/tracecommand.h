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
    /** Log files of any number of nodes; a line may have a prefix before its JSON. */
    std::vector<std::string> files;
    bool isJson = false;
};

/**
 * Prints the log lines that concern one request, from the logs of any number of nodes, ordered by time.
 *
 * These are the request's own lines, and lines of its node from the same period about the upstreams that it was sent to, the
 * configuration, the store, the node and the orders to engines. Returns the exit code of the process: 1 if no line names the request, 2 if
 * a file cannot be read.
 */
int traceRequest(const TraceOptions &options, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
