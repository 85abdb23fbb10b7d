#pragma once

#include "core/result.h"
#include "platform/settings.h"

#include <memory>

namespace ApricotStep
{

/** One entry node on the users' platform: caller port, readiness, directory and the link to the other nodes, on one thread. */
class EntryNode
{
public:
    /** Opens the ports. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<EntryNode>> start(const Platform::ProcessSettings &settings);
    ~EntryNode();

    /** Serves until drain() has ended all work. */
    void run();
    /** Takes no new work from callers who ask where to go, and ends run() when all answers are out. Safe in a signal handler. */
    void drain();
    /** The settings file has changed. Safe in a signal handler. */
    void reload();

private:
    EntryNode();
    struct Private;
    std::unique_ptr<Private> d;
};

/**
 * Takes SIGTERM, SIGINT and SIGHUP from now on. Called before anything else: a process that opens its ports first is ended by a change of
 * its settings that is announced in its first milliseconds. A wish to drain is kept for the node that starts.
 */
void installSignalHandlers();

/** Runs an entry node until it has drained; returns the process's exit code. */
int runEntryNode();

} // namespace ApricotStep
