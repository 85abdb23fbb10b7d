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

/** A span as a script writes it, in seconds or with "ms" in milliseconds. */
double parseSeconds(const std::string &text);

/**
 * The processes of one scenario, and the proxies between them. Upstreams and the platform are reached through TCP proxies; nodes reach each
 * other through proxies on IP numbers of their own. Thread-safe where callers need it (nodeAddresses).
 */
class TestCluster
{
public:
    /** @p buildFolder holds the programs, @p workFolder the files and logs of this run. */
    TestCluster(std::string buildFolder, std::string workFolder);
    ~TestCluster();

    void addStore(const Options &options);
    void addEngine(const std::string &name, const Options &options);
    void addService(const std::string &name, const Options &options);
    void addAdapter(const std::string &key, const std::string &labels);
    void removeAdapter(const std::string &key);
    /** Packs what was added and puts it into force; the first one starts the platform. */
    void publish();
    /** Options are settings, "section.key". A node that ended may be added again under its name: a new start. */
    void addNode(const std::string &name, const Options &options);
    Process &node(const std::string &name);
    /** Sets a VM's state in the VM list: live, leaving or gone. */
    void setVm(const std::string &id, const std::string &state);

    /** The faults of an upstream, of "config" or "vmlist", or of a node's RPC (NAME.rpc) or membership (NAME.membership). */
    FaultProxy::Faults &faults(const std::string &target);
    FaultProxy::Partition &partition();

    /** Where callers reach the nodes that are in the VM list as live. */
    std::vector<std::string> nodeAddresses() const;
    std::string callerAddress(const std::string &node) const;
    std::string operatorAddress(const std::string &node) const;
    /** An upstream itself, not through its proxy. */
    std::string directAddress(const std::string &upstream) const;
    /** Loads that the weight store began, a second since it started. */
    double loadsPerSecond() const;
    /** Of the newest publish(). */
    std::uint64_t publishedVersion() const;
    std::vector<std::string> engines() const;
    std::vector<std::string> services() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Scenario
