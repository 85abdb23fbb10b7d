#pragma once

#include <iosfwd>
#include <string>

namespace ApricotStep
{

/** Options of `apricotstep burn` and `apricotstep status`. */
struct OperatorQuery
{
    /** host:port of a node's operator port. */
    std::string node;
    bool isForAllNodes = false;
    bool isJson = false;
    /** For burn: the HTML file to write; if empty, text is printed. */
    std::string htmlFile;
};

/** Shows the burn rates. Returns the exit code: 0, 1 if the query fails or the file cannot be written, 2 for invalid options. */
int showBurn(const OperatorQuery &query, std::ostream &out, std::ostream &errors);
/** Shows nodes, engines and the active configuration. Exit codes as for showBurn(). */
int showStatus(const OperatorQuery &query, std::ostream &out, std::ostream &errors);
/** Shows the addresses that the node at @p callerPort (host:port) gives callers for @p selector. Exit codes as for showBurn(). */
int showAddress(const std::string &callerPort, const std::string &selector, bool isJson, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
