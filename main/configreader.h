#pragma once

#include "coordination/rumour.h"
#include "core/result.h"
#include "main/metrics.h"
#include "main/settings.h"
#include "state/catalog.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"
#include "transport/httpclient.h"
#include "transport/peers.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/** The state of the configuration that /status shows. */
struct ConfigStatus
{
    std::uint64_t version = 0;
    bool isWatcher = false;
    /** Description of the latest problem; empty if there was none. */
    std::string problem;
    /** Configuration values that peers can fetch from this node. */
    std::size_t valueCount = 0;
    std::size_t valueBytes = 0;
};

/** Prefix of the names under which peers fetch configuration values over node RPC. */
inline constexpr std::string_view ConfigValuePrefix = "config/";

/**
 * Keeps the active configuration up to date and serves its values to peers. Thread-safe.
 *
 * Parsing a base of 130,000 adapters or computing its pages takes a large part of a second. On the thread that carries answers to callers
 * this would stall every stream, so the reader has a thread of its own.
 */
class ConfigReader
{
public:
    /** Announces an activated version to the other nodes; called from any thread. */
    using Announcer = std::function<void(const ConfigFact &)>;

    /** The references must outlive the reader and the client's calls. */
    ConfigReader(const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics, SharedSnapshot<Catalog> &catalog,
        const SharedSnapshot<FleetView> &fleet);
    ~ConfigReader();

    /** Lets the reader use peers; without this call it only uses the service. Call it before start(). @p peers must outlive stop(). */
    void connect(Peers &peers, Announcer announce);
    void start();
    /** Ends the thread. Answers that arrive later are dropped. */
    void stop();
    /** To be called when a peer announces a version. */
    void onVersionAnnounced(const ConfigFact &fact);
    /** Returns the value named `config/head` or `config/HASH`, for a peer. Errors: NotFound. */
    Result<std::string> value(const std::string &name) const;
    ConfigStatus status() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
