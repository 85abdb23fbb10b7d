#pragma once

#include "core/result.h"
#include "platform/settings.h"

#include <memory>

namespace ApricotStep
{

/** One entry node on the users' platform. Serves callers, readiness, directory and metrics requests and the other nodes on one thread. */
class EntryNode
{
public:
    /** Opens the ports. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<EntryNode>> start(const Platform::ProcessSettings &settings);
    ~EntryNode();

    /** Serves requests until the node has drained. */
    void run();
    /**
     * Takes this node out of the directory, and makes run() return when all answers are sent or the platform is about to kill the process.
     * Safe in a signal handler.
     */
    void drain();
    /** The settings file has changed; this is only logged. Safe in a signal handler. */
    void reload();

private:
    EntryNode();
    struct Private;
    std::unique_ptr<Private> d;
};

/**
 * Installs handlers for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. Call it before anything else: if the ports were opened first, a
 * SIGHUP that announces changed settings in the first milliseconds would end the process. A drain request that arrives before the node runs
 * takes effect when it does.
 */
void installSignalHandlers();

/** Runs an entry node until it has drained; returns the process's exit code. */
int runEntryNode();

} // namespace ApricotStep
