#include "main/entry/crashdetector.h"

#include "main/entry/contentdigest.h"
#include "platform/enginecalls.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;
constexpr Duration ConnectTimeout { 400 };
// A process that ends closes its connections one after the other, and requests on them are reported together.
constexpr Duration ProbeDelay { 10 };
constexpr std::size_t MaxLoggedDigests = 8;
constexpr Duration ReportTimeout { 800 };
constexpr std::size_t MaxReportBytes = 1U << 20U;
// Upstreams that leave end within minutes.
constexpr Duration OutlivedMemory = Duration::seconds(1200);

UpstreamStart startOf(const UpstreamRecord &record)
{
    return UpstreamStart { record.id, record.startedAt };
}

std::string signName(EndSign sign)
{
    switch (sign) {
    case EndSign::ConnectionRefused:
        return "connection_refused";
    case EndSign::NewStart:
        return "new_start";
    case EndSign::EntryLapsed:
        return "entry_lapsed";
    case EndSign::Silence:
        return "silence";
    }
    return "";
}

} // namespace

struct CrashDetector::Private : std::enable_shared_from_this<CrashDetector::Private>
{
    IoLoop &loop;
    EventLog &log;
    EntryMetrics &metrics;
    OnEnded onEnded;
    UpstreamEnds ends;
    /** Since when. */
    absl::btree_map<UpstreamStart, Time> outlivedEntries;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, Duration suspicionTime, OnEnded onEnded)
        : loop(loop)
        , log(log)
        , metrics(metrics)
        , onEnded(std::move(onEnded))
        , ends(UpstreamEndsLimits { suspicionTime })
    {
    }

    Time now() const
    {
        return loop.clock().now();
    }
    void add(const UnansweredRequest &request);
    void addAll(const std::vector<UnansweredRequest> &requests);
    void probe(const UpstreamRecord &upstream);
    void onProbed(const UpstreamRecord &upstream, const CallResult &result);
    void askForReport(const UpstreamRecord &upstream);
    void onReport(const UpstreamRecord &upstream, const CallResult &result, Duration took);
    void reportAll(const std::vector<UpstreamEnd> &found);
    void report(const UpstreamEnd &end);
};

void CrashDetector::Private::add(const UnansweredRequest &request)
{
    if (const auto end = ends.onUnanswered(request, now())) {
        report(*end);
    }
}

void CrashDetector::Private::addAll(const std::vector<UnansweredRequest> &requests)
{
    for (const UnansweredRequest &request : requests) {
        add(request);
    }
}

// Connects and sends nothing.
void CrashDetector::Private::probe(const UpstreamRecord &upstream)
{
    HttpCall call;
    call.url = "http://" + upstream.address + "/";
    call.connectTimeout = ConnectTimeout;
    call.isRepeatable = false; // A new connection is what tells.
    call.maySend = [] { return false; };
    call.onDone = [weak = weak_from_this(), upstream](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onProbed(upstream, result);
        }
    };
    loop.client().start(std::move(call));
}

void CrashDetector::Private::onProbed(const UpstreamRecord &upstream, const CallResult &result)
{
    if (!ends.isSuspected(startOf(upstream))) {
        return;
    }
    if (!result.isConnectionRefused) {
        log.write(Important, "upstream", "suspected",
            { { "upstream", upstream.id.value() }, { "startedAt", upstream.startedAt }, { "reason", result.detail } });
        return;
    }
    if (const auto end = ends.onConnectionRefused(startOf(upstream), now())) {
        metrics.upstreamEnded();
        report(*end);
    }
}

void CrashDetector::Private::askForReport(const UpstreamRecord &upstream)
{
    HttpCall call;
    call.url = "http://" + upstream.address + std::string(Platform::reportPath());
    call.headers = Platform::reportHeaders(upstream.id);
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = ReportTimeout;
    call.maxBodyBytes = MaxReportBytes;
    call.isSentOnce = true;
    call.onDone = [weak = weak_from_this(), upstream, askedAt = now()](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onReport(upstream, result, self->now() - askedAt);
        }
    };
    loop.client().start(std::move(call));
}

void CrashDetector::Private::onReport(const UpstreamRecord &upstream, const CallResult &result, Duration took)
{
    constexpr int OkStatus = 200;
    // A node that got no processor time may have an answer that it has not read.
    const bool isLate = took > ReportTimeout * 2;
    const bool isAlive = result.isMalformed || (result.state == AttemptState::Answered && result.status == OkStatus);
    if (isAlive) {
        absl::erase_if(outlivedEntries, [this](const auto &entry) { return now() - entry.second > OutlivedMemory; });
        outlivedEntries[startOf(upstream)] = now();
        log.write(Important, "upstream", "outlives_entry", { { "upstream", upstream.id.value() }, { "startedAt", upstream.startedAt } });
    } else if (!isLate) {
        reportAll(ends.onLapsed(upstream.id, now()));
    }
}

void CrashDetector::Private::reportAll(const std::vector<UpstreamEnd> &found)
{
    for (const UpstreamEnd &end : found) {
        metrics.upstreamEnded();
        report(end);
    }
}

void CrashDetector::Private::report(const UpstreamEnd &end)
{
    const std::vector<CrashSuspect> &suspects = end.suspects;
    const auto begun = std::count_if(suspects.begin(), suspects.end(), [](const CrashSuspect &suspect) { return suspect.hasBegun; });
    std::vector<std::string> digests;
    for (std::size_t i = 0; i < std::min(suspects.size(), MaxLoggedDigests); ++i) {
        digests.push_back(digestName(suspects[i].content.request));
        for (const ContentDigest part : suspects[i].content.parts) {
            digests.back() += '/' + digestName(part);
        }
    }
    log.write(Important, "upstream", "ended",
        { { "upstream", end.upstream.id.value() }, { "service", end.upstream.service.value() }, { "startedAt", end.upstream.startedAt },
            { "sign", signName(end.sign) }, { "agoMs", (now() - end.at).milliseconds() },
            { "requests", static_cast<std::int64_t>(suspects.size()) }, { "begun", static_cast<std::int64_t>(begun) },
            { "contents", absl::StrJoin(digests, " ") } });
    onEnded(end);
}

CrashDetector::CrashDetector(IoLoop &loop, EventLog &log, EntryMetrics &metrics, Duration suspicionTime, OnEnded onEnded)
    : d(std::make_shared<Private>(loop, log, metrics, suspicionTime, std::move(onEnded)))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::onBroken(const UnansweredRequest &request)
{
    const UpstreamStart start = startOf(request.upstream);
    const bool wasSuspected = d->ends.isSuspected(start);
    d->add(request);
    if (wasSuspected || !d->ends.isSuspected(start)) {
        return;
    }
    d->loop.after(ProbeDelay, [weak = std::weak_ptr(d), upstream = request.upstream] {
        if (const auto self = weak.lock(); self != nullptr && self->ends.isSuspected(startOf(upstream))) {
            self->probe(upstream);
        }
    });
}

void CrashDetector::onSilent(const UnansweredRequest &request)
{
    d->add(request);
}

void CrashDetector::onAnswer(const UpstreamRecord &upstream, Time sentAt)
{
    if (d->ends.hasSuspicions() && d->ends.onAnswer(startOf(upstream), sentAt, d->now())) {
        d->log.write(Important, "upstream", "lives_on", { { "upstream", upstream.id.value() }, { "startedAt", upstream.startedAt } });
    }
}

std::vector<UnansweredRequest> CrashDetector::suspected() const
{
    return d->ends.open();
}

void CrashDetector::onSilenceConfirmed(const UpstreamStart &upstream, const std::vector<UnansweredRequest> &unanswered)
{
    d->addAll(unanswered);
    if (const auto end = d->ends.onSilent(upstream, d->now())) {
        d->reportAll({ *end });
    }
}

void CrashDetector::onStarted(const UpstreamRecord &record, const std::vector<UnansweredRequest> &unanswered)
{
    d->outlivedEntries.erase(startOf(record));
    d->addAll(unanswered);
    d->reportAll(d->ends.onStarted(record, d->now()));
}

void CrashDetector::onLapsed(const UpstreamRecord &upstream, bool canReport, const std::vector<UnansweredRequest> &silent)
{
    d->addAll(silent);
    if (canReport) {
        d->askForReport(upstream);
    } else {
        d->reportAll(d->ends.onLapsed(upstream.id, d->now()));
    }
}

bool CrashDetector::hasOutlivedEntry(const UpstreamStart &start) const
{
    return d->outlivedEntries.contains(start);
}

} // namespace ApricotStep
