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
constexpr std::size_t MaxValueBytes = 64U << 20U;

} // namespace

struct PlatformReader::Private : std::enable_shared_from_this<Private>
{
    Private(const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, VmListHandler vmListHandler)
        : settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , onVmList(std::move(vmListHandler))
        , log(componentLogger("vmlist"))
    {
    }

    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    VmListHandler onVmList;
    Logger log;
    absl::Mutex mutex;
    Time nextVmRead ABSL_GUARDED_BY(mutex);

    void read(const std::string &url, Duration timeout, std::function<void(const CallResult &, const std::string &)> done);
    void readVmList();
    void acceptVmList(const std::string &text);
};

void PlatformReader::Private::read(
    const std::string &url, Duration timeout, std::function<void(const CallResult &, const std::string &)> done)
{
    auto body = std::make_shared<std::string>();
    HttpCall call;
    call.url = url;
    call.totalTimeout = timeout;
    call.maxBodyBytes = MaxValueBytes;
    call.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    call.onDone = [body, done = std::move(done)](const CallResult &result) { done(result, *body); };
    client.start(std::move(call));
}

void PlatformReader::Private::readVmList()
{
    read(settings.text("platform.vm_list_url"), Duration::seconds(5),
        [self = shared_from_this()](const CallResult &result, const std::string &body) {
            if (result.state == AttemptState::Answered && result.status == OkStatus) {
                self->acceptVmList(body);
            }
            const absl::MutexLock lock(&self->mutex);
            self->nextVmRead = self->clock.now() + self->settings.duration("platform.vm_list_interval_ms");
        });
}

void PlatformReader::Private::acceptVmList(const std::string &text)
{
    auto list = parseVmList(text);
    if (!list.isOk()) {
        log->error("Rejected an invalid VM list. {}", list.error().detail);
        return;
    }
    onVmList(std::move(list.value()));
}

PlatformReader::PlatformReader(const Settings &settings, HttpClient &client, const Clock &clock, VmListHandler onVmList)
    : d(std::make_shared<Private>(settings, client, clock, std::move(onVmList)))
{
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::tick()
{
    {
        const absl::MutexLock lock(&d->mutex);
        if (d->clock.now() < d->nextVmRead) {
            return;
        }
        d->nextVmRead = Time::never();
    }
    d->readVmList();
}

} // namespace ApricotStep
