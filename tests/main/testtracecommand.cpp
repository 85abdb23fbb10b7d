#include "main/entry/tracecommand.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

std::string writeFile(const std::string &name, const std::string &text)
{
    const std::string path = "/tmp/apricotstep-trace-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    return path;
}

} // namespace

// A trace must contain the lines of the request and those of its node about the upstream that it was sent to, ordered by time. Lines of
// other nodes, requests and upstreams must not be included.
Test(trace, linesOfOneRequestArePrintedInOrder)
{
    const std::string first =
        writeFile("a", R"(  0.5 n1 {"at":1500,"node":"n1","part":"request","event":"sent","request":"r1","upstream":"u1"}
{"at":1000,"node":"n1","part":"request","event":"arrived","request":"r1"}
{"at":900,"node":"n1","part":"upstream","event":"left","upstream":"u1","reason":"gone"}
{"at":900,"node":"n1","part":"upstream","event":"left","upstream":"u9","reason":"gone"}
not json
{"at":1600,"node":"n1","part":"request","event":"sent","request":"r2","upstream":"u1"}
)");
    const std::string second = writeFile("b", R"({"at":1200,"node":"n2","part":"config","event":"in_force","version":3})");
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(traceRequest({ "r1", { first, second }, false }, out, errors), 0);
    const std::string text = out.str();
    const std::size_t left = text.find("upstream: left");
    const std::size_t arrived = text.find("request: arrived");
    const std::size_t sent = text.find("request: sent");
    cr_assert(left < arrived && arrived < sent && sent != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("u9") == std::string::npos && text.find("n2") == std::string::npos);
    cr_assert_eq(traceRequest({ "none", { first }, false }, out, errors), 1);
    cr_assert_eq(traceRequest({ "r1", { "/nowhere" }, false }, out, errors), 2);
    std::remove(first.c_str());
    std::remove(second.c_str());
}
