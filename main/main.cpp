#include "main/configcheckcommand.h"
#include "main/entry/entrynode.h"
#include "main/entry/tracecommand.h"
#include "main/errorspage.h"
#include "main/log.h"
#include "main/node.h"
#include "main/operatorcommands.h"
#include "main/packcommand.h"
#include "main/settings.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace ApricotStep;

namespace
{

constexpr int UsageExit = 2;

int runNode(const std::string &path)
{
    const auto settings = Settings::load(path);
    if (!settings.isOk()) {
        std::cerr << settings.error().detail;
        return UsageExit;
    }
    startLog(settings.value()->text("log.level"), settings.value()->text("log.format"));
    // Blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): writing to a closed connection must not end the process

    auto node = Node::start(settings.value());
    if (!node.isOk()) {
        std::cerr << path << ":0: " << node.error().detail << "\n";
        return UsageExit;
    }
    std::cout << "ready callers=" << node.value()->callerPort() << " operators=" << node.value()->operatorPort()
              << " membership=" << node.value()->membershipPort() << " rpc=" << node.value()->rpcPort() << std::endl;
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        node.value()->reload();
    }
    node.value()->drain();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Serves many LoRA adapters of one base model from many small nodes." };
    app.set_version_flag("--version", "apricotstep 0.1.0");
    app.require_subcommand(1);

    std::string settingsPath;
    auto *node = app.add_subcommand("node", "Run a node.");
    node->add_option("--settings", settingsPath, "INI file with the settings below.")->required();
    node->footer(settingsHelp());
    auto *entry = app.add_subcommand(
        "entry", "Run an entry node on the users' platform, which passes the path of the settings file in the environment.");
    TraceOptions tracing;
    auto *trace = app.add_subcommand("trace", "Print the events of one request from the logs of entry nodes.");
    trace->add_option("request", tracing.request, "The caller's request id.")->required();
    trace->add_option("files", tracing.files, "Log files of any number of nodes.")->required();
    trace->add_flag("--json", tracing.isJson, "Print the lines as they were written.");
    auto *errors = app.add_subcommand("errors-page", "Print docs/ERRORS.md.");
    ConfigCheckOptions checking;
    auto *check = app.add_subcommand("check-config", "Check a configuration before it is published.");
    check->add_option("file", checking.file, "A configuration of entry nodes in JSON, or a catalog if the name ends with .ini.")
        ->required();
    check->add_option("--in-force", checking.inForceFile, "The configuration in force; differences from it are listed.");
    check->add_flag("--json", checking.isJson, "Print JSON.");
    check->add_flag("--warnings-as-errors", checking.isWarningError, "Exit with 1 if there are warnings.");
    PackOptions packing;
    auto *pack = app.add_subcommand("pack", "Build the configuration values to publish from a catalog INI file.");
    pack->add_option("--in", packing.in, "The operator's catalog.")->required();
    pack->add_option("--out", packing.out, "Directory for the values: one file each, named as the configuration service must serve it.")
        ->required();
    pack->add_option("--previous", packing.previous, "Directory of the last publication; may be the same as --out.");
    OperatorQuery query;
    auto *burn = app.add_subcommand("burn", "Show the burn rates of the error budgets by class.");
    burn->add_option("--node", query.node, "host:port of a node's operator port.")->required();
    burn->add_flag("--all", query.isForAllNodes, "Sum over all nodes, which that node queries.");
    burn->add_flag("--json", query.isJson, "Print JSON.");
    burn->add_option("--html", query.htmlFile, "Write a page with plots to this file.");
    auto *status = app.add_subcommand("status", "Show nodes, engines and the active configuration.");
    status->add_option("--node", query.node, "host:port of a node's operator port.")->required();
    status->add_flag("--all", query.isForAllNodes, "Show all nodes, which that node queries.");
    status->add_flag("--json", query.isJson, "Print JSON.");
    std::string selector;
    auto *address = app.add_subcommand("address", "Show the addresses that a caller would get for a model.");
    address->add_option("--node", query.node, "host:port of a node's caller port.")->required();
    address->add_option("--model", selector, "Selector of the model, as in a request.")->required();
    address->add_flag("--json", query.isJson, "Print JSON.");
    auto *page = app.add_subcommand("settings-page", "Print docs/SETTINGS.md.");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : UsageExit;
    }
    if (*page) {
        std::cout << settingsPage();
        return 0;
    }
    if (*entry) {
        return runEntryNode();
    }
    if (*trace) {
        return traceRequest(tracing, std::cout, std::cerr);
    }
    if (*errors) {
        std::cout << errorsPage();
        return 0;
    }
    if (*check) {
        return runConfigCheck(checking, std::cout, std::cerr);
    }
    if (*pack) {
        return packConfig(packing, SystemClock().wallTime(), std::cout, std::cerr);
    }
    if (*burn) {
        return showBurn(query, std::cout, std::cerr);
    }
    if (*status) {
        return showStatus(query, std::cout, std::cerr);
    }
    if (*address) {
        return showAddress(query.node, selector, query.isJson, std::cout, std::cerr);
    }
    return runNode(settingsPath);
}
