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

/** What /status shows of the configuration. */
struct ConfigStatus
{
    std::uint64_t version = 0;
    bool isWatcher = false;
    /** The newest trouble, as a sentence; empty when there was none. */
    std::string problem;
    /** Values held for peers. */
    std::size_t valueCount = 0;
    std::size_t valueBytes = 0;
};

/** Prefix of the names under which peers fetch configuration values over node RPC. */
inline constexpr std::string_view ConfigValuePrefix = "config/";

/**
 * Keeps the configuration in force up to date, and hands its values to peers. Thread-safe.
 *
 * Reading a base of 130,000 adapters or working out its pages takes a good part of a second. On the thread that carries answers to
 * callers every stream would stand still meanwhile, so all of it happens on one thread of the reader's own.
 */
class ConfigReader
{
public:
    /** Tells the other nodes; from any thread. */
    using Announcer = std::function<void(const ConfigFact &)>;

    /** The references must outlive the reader and the client's calls. */
    ConfigReader(const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics, SharedSnapshot<Catalog> &catalog,
        const SharedSnapshot<FleetView> &fleet);
    ~ConfigReader();

    /** Lets the reader ask peers and tell them; without it the service alone is asked. Before start(); @p peers must outlive stop(). */
    void connect(Peers &peers, Announcer announce);
    void start();
    /** Ends the thread. Answers that come later are dropped. */
    void stop();
    /** A peer told of a version. */
    void onVersionAnnounced(const ConfigFact &fact);
    /** The value under `config/head` or `config/HASH`, for a peer. Errors: NotFound. */
    Result<std::string> value(const std::string &name) const;
    ConfigStatus status() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
