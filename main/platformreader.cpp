#include "main/platformreader.h"

#include "main/log.h"
#include "protocol/platformvalues.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace ApricotStep
{

namespace
{

constexpr int OkStatus = 200;
constexpr Duration RetryDelay { 500 };
constexpr std::size_t MaxValueBytes = 64U << 20U;

} // namespace

struct PlatformReader::Private : std::enable_shared_from_this<Private>
{
    Private(const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, Metrics &allMetrics, Published<Catalog> &catalogs,
        VmListHandler vmListHandler)
        : settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , metrics(allMetrics)
        , catalog(catalogs)
        , onVmList(std::move(vmListHandler))
        , log(partLog("config"))
    {
    }

    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    Published<Catalog> &catalog;
    VmListHandler onVmList;
    Logger log;
    absl::Mutex mutex;
    Time nextConfigRead ABSL_GUARDED_BY(mutex);
    Time nextVmRead ABSL_GUARDED_BY(mutex);

    void read(const std::string &url, Duration timeout, std::function<void(const CallResult &, const std::string &)> done);
    void readConfig();
    void readVmList();
    void takeConfig(const std::string &text);
    void takeVmList(const std::string &text);
};

void PlatformReader::Private::read(
    const std::string &url, Duration timeout, std::function<void(const CallResult &, const std::string &)> done)
{
    auto body = std::make_shared<std::string>();
    HttpCall call;
    call.url = url;
    call.totalTimeout = timeout;
    call.onData = [body](std::string_view data) {
        if (body->size() + data.size() <= MaxValueBytes) {
            body->append(data);
        }
        return true;
    };
    call.onDone = [body, done = std::move(done)](const CallResult &result) { done(result, *body); };
    client.start(std::move(call));
}

void PlatformReader::Private::readConfig()
{
    const auto current = catalog.get();
    const std::uint64_t version = current ? current->version().value() : 0;
    const Duration watch = settings.duration("platform.watch_ms");
    const std::string url = settings.text("platform.config_url") + "/v1/values/catalog?after=" + std::to_string(version)
        + "&wait_ms=" + std::to_string(watch.milliseconds());
    read(url, watch + Duration::seconds(5), [self = shared_from_this()](const CallResult &result, const std::string &body) {
        if (result.state == AttemptState::Answered && result.status == OkStatus) {
            self->takeConfig(body);
        }
        const absl::MutexLock lock(&self->mutex);
        self->nextConfigRead = result.state == AttemptState::Answered ? self->clock.now() : self->clock.now() + RetryDelay;
    });
}

void PlatformReader::Private::takeConfig(const std::string &text)
{
    auto content = parseCatalog(text);
    if (!content.isOk()) {
        log->error("Refused a configuration. {}", content.error().detail);
        return;
    }
    const auto current = catalog.get();
    // A stale service hands out old values as if they were new; going back would undo an accepted change.
    if (current && content.value().version <= current->version()) {
        return;
    }
    auto created = Catalog::create(std::move(content.value()));
    if (!created.isOk()) {
        log->error("Refused a configuration. {}", created.error().detail);
        return;
    }
    const ConfigVersion version = created.value()->version();
    catalog.set(created.value());
    metrics.configVersion(version.value());
    log->info("Configuration {} is in force.", version.value());
}

void PlatformReader::Private::readVmList()
{
    read(settings.text("platform.vm_list_url"), Duration::seconds(5),
        [self = shared_from_this()](const CallResult &result, const std::string &body) {
            if (result.state == AttemptState::Answered && result.status == OkStatus) {
                self->takeVmList(body);
            }
            const absl::MutexLock lock(&self->mutex);
            self->nextVmRead = self->clock.now() + self->settings.duration("platform.vm_list_interval_ms");
        });
}

void PlatformReader::Private::takeVmList(const std::string &text)
{
    auto list = parseVmList(text);
    if (!list.isOk()) {
        log->error("Refused a VM list. {}", list.error().detail);
        return;
    }
    onVmList(std::move(list.value()));
}

PlatformReader::PlatformReader(
    const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics, Published<Catalog> &catalog, VmListHandler onVmList)
    : d(std::make_shared<Private>(settings, client, clock, metrics, catalog, std::move(onVmList)))
{
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::tick()
{
    const Time now = d->clock.now();
    bool isConfigDue = false;
    bool isVmListDue = false;
    {
        const absl::MutexLock lock(&d->mutex);
        isConfigDue = now >= d->nextConfigRead;
        isVmListDue = now >= d->nextVmRead;
        if (isConfigDue) {
            d->nextConfigRead = Time::never();
        }
        if (isVmListDue) {
            d->nextVmRead = Time::never();
        }
    }
    if (isConfigDue) {
        d->readConfig();
    }
    if (isVmListDue) {
        d->readVmList();
    }
}

} // namespace ApricotStep
