#include "main/entry/crashdetector.h"

#include "coordination/upstreamdirectory.h"
#include "main/entry/contentdigest.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;
constexpr Duration ConnectTimeout { 400 };
// A process that ends closes its connections one after the other, and requests on them are reported together.
constexpr Duration ProbeDelay { 10 };
// Requests of a caller that waited behind a pause of this process are reported later than others.
constexpr Duration Memory = Duration::seconds(10);
constexpr std::size_t MaxLoggedDigests = 8;

} // namespace

struct CrashDetector::Private : std::enable_shared_from_this<CrashDetector::Private>
{
    struct Suspicion
    {
        UpstreamRecord upstream;
        Time at;
        std::vector<CrashSuspect> suspects;
        bool hasEnded = false;
    };

    IoLoop &loop;
    EventLog &log;
    EntryMetrics &metrics;
    OnEnded onEnded;
    std::map<UpstreamStart, Suspicion> suspicions;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, OnEnded onEnded)
        : loop(loop)
        , log(log)
        , metrics(metrics)
        , onEnded(std::move(onEnded))
    {
    }

    void probe(const UpstreamStart &start);
    void onProbed(const UpstreamStart &start, const CallResult &result);
    void report(Suspicion &suspicion);
};

// Connects and sends nothing.
void CrashDetector::Private::probe(const UpstreamStart &start)
{
    HttpCall call;
    call.url = "http://" + suspicions[start].upstream.address + "/";
    call.connectTimeout = ConnectTimeout;
    call.isRepeatable = false; // A new connection is what tells.
    call.maySend = [] { return false; };
    call.onDone = [weak = weak_from_this(), start](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onProbed(start, result);
        }
    };
    loop.client().start(std::move(call));
}

// Only a refused connection shows that the process has ended. One that hangs is cut off or has lost its host, whatever it was working on.
void CrashDetector::Private::onProbed(const UpstreamStart &start, const CallResult &result)
{
    const auto at = suspicions.find(start);
    if (at == suspicions.end()) {
        return;
    }
    if (!result.isConnectionRefused) {
        suspicions.erase(at);
        return;
    }
    at->second.hasEnded = true;
    metrics.upstreamEnded();
    report(at->second);
}

void CrashDetector::Private::report(Suspicion &suspicion)
{
    const std::vector<CrashSuspect> suspects = std::exchange(suspicion.suspects, {});
    const auto begun = std::count_if(suspects.begin(), suspects.end(), [](const CrashSuspect &suspect) { return suspect.hasBegun; });
    std::vector<std::string> digests;
    for (std::size_t i = 0; i < std::min(suspects.size(), MaxLoggedDigests); ++i) {
        digests.push_back(digestName(suspects[i].content.request));
        for (const ContentDigest part : suspects[i].content.parts) {
            digests.back() += '/' + digestName(part);
        }
    }
    log.write(Important, "upstream", "ended",
        { { "upstream", suspicion.upstream.id.value() }, { "service", suspicion.upstream.service.value() },
            { "startedAt", suspicion.upstream.startedAt }, { "requests", static_cast<std::int64_t>(suspects.size()) },
            { "begun", static_cast<std::int64_t>(begun) }, { "contents", absl::StrJoin(digests, " ") } });
    onEnded(suspicion.upstream, suspects, suspicion.at);
}

CrashDetector::CrashDetector(IoLoop &loop, EventLog &log, EntryMetrics &metrics, OnEnded onEnded)
    : d(std::make_shared<Private>(loop, log, metrics, std::move(onEnded)))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::onBroken(const UpstreamRecord &upstream, const CrashSuspect &suspect)
{
    const Time now = d->loop.clock().now();
    std::erase_if(d->suspicions, [now](const auto &entry) { return now - entry.second.at > Memory; });
    const UpstreamStart start { upstream.id, upstream.startedAt };
    const auto [at, isNew] = d->suspicions.try_emplace(start, Private::Suspicion { upstream, now, {}, false });
    at->second.suspects.push_back(suspect);
    if (isNew) {
        d->loop.after(ProbeDelay, [weak = std::weak_ptr(d), start] {
            if (const auto self = weak.lock(); self != nullptr && self->suspicions.contains(start)) {
                self->probe(start);
            }
        });
    } else if (at->second.hasEnded) {
        d->report(at->second);
    }
}

} // namespace ApricotStep
