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
    /** For burn: file that takes the page; empty prints text. */
    std::string htmlFile;
};

/** Shows service-level burn. Returns the exit code: 0, 1 when the node cannot be asked or the file not written, 2 for bad options. */
int showBurn(const OperatorQuery &query, std::ostream &out, std::ostream &errors);
/** Shows nodes, engines and the configuration in force. Returns as showBurn(). */
int showStatus(const OperatorQuery &query, std::ostream &out, std::ostream &errors);
/** Shows what a caller of the node at @p callerPort (host:port) would be told about @p selector. Returns as showBurn(). */
int showAddress(const std::string &callerPort, const std::string &selector, bool isJson, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
