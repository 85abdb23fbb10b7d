#pragma once

#include "tests/proxy/tcpproxy.h"
#include "tests/proxy/udpproxy.h"
#include "tests/scenarios/runner/process.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Scenario
{

using Options = std::map<std::string, std::string>;

std::string optionOr(const Options &options, const std::string &key, const std::string &fallback);

/** Parses a duration in seconds, or in milliseconds with the suffix "ms", and returns it in seconds. */
double parseSeconds(const std::string &text);

/**
 * The processes of one scenario and the proxies between them. Upstreams and the platform are reached through TCP proxies. Nodes reach each
 * other through proxies that listen on separate IP addresses. nodeAddresses(), callerAddress() and operatorAddress() are thread-safe.
 */
class TestCluster
{
public:
    /** @p buildFolder contains the programs; the settings and logs of this run are written to @p workFolder. */
    TestCluster(std::string buildFolder, std::string workFolder);
    ~TestCluster();

    void addStore(const Options &options);
    void addEngine(const std::string &name, const Options &options);
    void addService(const std::string &name, const Options &options);
    void addAdapter(const std::string &key, const std::string &labels);
    void removeAdapter(const std::string &key);
    /** Packs the catalog and publishes it as the new configuration. The first call starts the configuration service and the VM list. */
    void publish();
    /** Starts a node; options named "section.key" become settings. Adding an existing name restarts that node with its first options and
     * lists its VM as live. */
    void addNode(const std::string &name, const Options &options);
    Process &node(const std::string &name);
    /** Sets the state of a VM in the VM list: live, leaving or gone. */
    void setVm(const std::string &id, const std::string &state);

    /** Returns the faults of the proxy for an upstream, "config", "vmlist", a node's RPC (NAME.rpc) or its membership (NAME.membership). */
    FaultProxy::Faults &faults(const std::string &target);
    FaultProxy::Partition &partition();

    /** Returns the caller addresses of the running nodes that the VM list shows as live. */
    std::vector<std::string> nodeAddresses() const;
    std::string callerAddress(const std::string &node) const;
    std::string operatorAddress(const std::string &node) const;
    /** Returns the address of an upstream without its proxy. */
    std::string directAddress(const std::string &upstream) const;
    /** Returns the average number of adapter loads per second that the weight store began since its start. */
    double loadsPerSecond() const;
    /** Returns the configuration version of the latest publish(). */
    std::uint64_t publishedVersion() const;
    std::vector<std::string> engines() const;
    std::vector<std::string> services() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Scenario
