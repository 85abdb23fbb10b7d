#include "main/enginerunner.h"
#include "main/servicerunner.h"
#include "tests/main/fixtures.h"

#include <criterion/criterion.h>

using namespace Fixtures;

namespace
{

// No server listens on this address.
const std::string Closed = "127.0.0.1:9";
const std::string Stream = "data: one\n\ndata: [DONE]\n\n";

UpstreamSpec spec(const std::string &id, const std::string &address)
{
    UpstreamSpec spec;
    spec.id = UpstreamId(id);
    spec.address = address;
    return spec;
}

// An engine that keeps track of its loaded adapter. Completions go to a callback, which also gets the number of completions so far.
class Engine
{
public:
    using Completion = std::function<void(int, const HttpRequest &, const std::shared_ptr<HttpExchange> &)>;

    explicit Engine(Completion completion)
        : m_completion(std::move(completion))
        , m_upstream([this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { handle(request, exchange); })
    {
    }
    std::string address() const
    {
        return m_upstream.address();
    }

    std::atomic<int> loads { 0 };
    std::atomic<int> completions { 0 };
    std::atomic<bool> isLoaded { false };

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        if (request.path == "/v1/load_lora_adapter") {
            ++loads;
            isLoaded = true;
            exchange->respond(200, {}, "{}");
        } else if (!isLoaded) {
            exchange->respond(404, {}, R"({"error":"adapter not loaded"})");
        } else {
            m_completion(++completions, request, exchange);
        }
    }

    Completion m_completion;
    Upstream m_upstream;
};

void answerOk(int, const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->respond(200, { { "X-Attempt-Id", request.header("x-attempt-id") } }, "well");
}

// One engine, and optionally another one for requests that fail on the first.
struct Engines : NodeFixture, CompletionRouter
{
    explicit Engines(const std::string &first, const std::string &second = {})
        : one(std::make_unique<EngineRunner>(spec("one", first), EngineContext { *settings, *client, clock, metrics, health, *this }))
    {
        if (!second.empty()) {
            other =
                std::make_unique<EngineRunner>(spec("other", second), EngineContext { *settings, *client, clock, metrics, health, *this });
        }
    }
    ~Engines() override
    {
        client.reset();
    }
    bool hasOther(const CompletionJob &job, const UpstreamId &) override
    {
        return other != nullptr && job.tried.empty();
    }
    void routeToOther(CompletionJob job) override
    {
        other->submit(std::move(job));
    }
    void submit(const std::shared_ptr<Caller> &caller, bool isStream, Duration allowed = Duration::seconds(10))
    {
        CompletionJob job;
        job.work.id = RequestId(nextId++);
        job.work.adapter = { AdapterId("a"), AdapterVersion("1") };
        job.work.arrival = clock.now();
        job.work.deadline = clock.now() + allowed;
        job.path = "/v1/completions";
        job.body = "{}";
        job.isStream = isStream;
        job.requestId = "r" + std::to_string(job.work.id.value());
        job.exchange = caller;
        one->submit(std::move(job));
    }
    void wait(Caller &caller)
    {
        cr_assert(caller.wait([this] {
            one->tick();
            if (other != nullptr) {
                other->tick();
            }
        }));
    }
    void run(const std::shared_ptr<Caller> &caller, bool isStream = false, Duration allowed = Duration::seconds(10))
    {
        submit(caller, isStream, allowed);
        wait(*caller);
    }

    std::uint64_t nextId = 1;
    std::unique_ptr<EngineRunner> one;
    std::unique_ptr<EngineRunner> other;
};

// A plain service with one upstream per address.
struct Service : NodeFixture
{
    explicit Service(const std::vector<std::string> &addresses)
        : runner(std::make_unique<ServiceRunner>(NodeId("n1"), Incarnation(1), *settings, *client, clock, metrics, health))
    {
        CatalogContent content;
        content.version = ConfigVersion(1);
        ServiceSpec service { ServiceName("pay"), {} };
        for (const std::string &address : addresses) {
            UpstreamSpec upstream = spec("s" + std::to_string(content.upstreams.size()), address);
            upstream.kind = UpstreamKind::Service;
            service.upstreams.push_back(upstream.id);
            content.upstreams.push_back(upstream);
        }
        content.services.push_back(service);
        catalog = Catalog::create(std::move(content)).value();
    }
    ~Service()
    {
        client.reset();
    }
    void submit(const std::shared_ptr<Caller> &caller, const std::string &method, const std::string &key = {})
    {
        ServiceJob job;
        job.request.method = method;
        job.request.body = method == "POST" ? "amount=120" : "";
        if (!key.empty()) {
            job.request.headers["idempotency-key"] = key;
        }
        job.service = ServiceName("pay");
        job.target = "/enrol";
        job.requestId = "r";
        job.exchange = caller;
        job.catalog = catalog;
        job.fleet = std::make_shared<FleetView>();
        runner->submit(std::move(job));
    }
    void run(const std::shared_ptr<Caller> &caller, const std::string &method, const std::string &key = {})
    {
        submit(caller, method, key);
        cr_assert(caller->wait([this] { runner->tick(); }));
    }

    std::shared_ptr<const Catalog> catalog;
    std::unique_ptr<ServiceRunner> runner;
};

} // namespace

Test(retries, adapterIsReloadedAfterEngineRestart)
{
    // An engine restarts between two requests and loses its adapters. The second request must succeed after a reload.
    Engine engine(answerOk);
    Engines engines(engine.address());
    const auto first = std::make_shared<Caller>();
    engines.run(first);
    engine.isLoaded = false;
    const auto second = std::make_shared<Caller>();
    engines.run(second);
    cr_assert_eq(second->status(), 200);
    cr_assert(second->bodyContains("well"));
    cr_assert_eq(engine.loads, 2);
    cr_assert_eq(engine.completions, 2);
}

Test(retries, engineThatNeverKeepsItsAdapterIsGivenUp)
{
    // An engine accepts each load but never has the adapter. The caller must get a refusal with the correct not-run state instead of
    // waiting without end.
    std::atomic<int> completionRequests { 0 };
    const Upstream engineWithoutAdapter([&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        const bool isLoad = request.path == "/v1/load_lora_adapter";
        completionRequests += isLoad ? 0 : 1;
        exchange->respond(isLoad ? 200 : 404, {}, "{}");
    });
    Engines engines(engineWithoutAdapter.address());
    const auto caller = std::make_shared<Caller>();
    engines.run(caller);
    cr_assert_eq(caller->status(), 503);
    cr_assert(caller->bodyContains("upstream_refused"));
    cr_assert_eq(completionRequests, 3);
}

Test(retries, unreachableEngineIsReplaced)
{
    // A VM is gone and connections to it are refused. Nothing was sent, so another engine must answer and the caller sees no error.
    Engine good(answerOk);
    Engines engines(Closed, good.address());
    const auto caller = std::make_shared<Caller>();
    engines.run(caller);
    cr_assert_eq(caller->status(), 200);
}

Test(retries, failureBeforeTheFirstByteIsRetried)
{
    // The engine accepts the request and fails before it answers, once for a buffered answer and once for a stream.
    for (const bool isStream : { false, true }) {
        Engine dying([](int, const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { exchange->abort(); });
        Engine good([](int, const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            exchange->beginStream(200, {});
            exchange->write(Stream);
            exchange->finish();
        });
        Engines engines(dying.address(), good.address());
        const auto caller = std::make_shared<Caller>();
        engines.run(caller, isStream);
        cr_assert_eq(caller->status(), 200);
        cr_assert_eq(good.completions, 1);
        cr_assert_eq(caller->startedStreams(), isStream ? 1 : 0);
    }
}

Test(retries, startedStreamIsNotRetried)
{
    // The engine fails in the middle of a stream. A retry would send the first half to the caller twice; the caller must see an aborted
    // stream.
    std::shared_ptr<HttpExchange> startedStream;
    Engine dying([&](int, const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        startedStream = exchange;
        exchange->beginStream(200, {});
        exchange->write("data: one\n\n");
    });
    Engine good(answerOk);
    Engines engines(dying.address(), good.address());
    const auto caller = std::make_shared<Caller>();
    engines.submit(caller, true);
    while (caller->startedStreams() == 0) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    startedStream->abort();
    engines.wait(*caller);
    cr_assert_not(caller->isFinished());
    cr_assert(caller->bodyContains("stream_cut"));
    cr_assert_eq(good.completions, 0);
    cr_assert_eq(caller->startedStreams(), 1);
}

Test(retries, engineReceivesTheRemainingTime)
{
    std::atomic<int> left { 0 };
    Engine engine([&](int, const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        left = std::atoi(request.header("x-deadline-ms").c_str());
        exchange->respond(200, {}, "");
    });
    Engines engines(engine.address());
    engines.run(std::make_shared<Caller>(), false, Duration(5000));
    cr_assert_geq(left, 1);
    cr_assert_leq(left, 5000);
}

Test(retries, sentPaymentIsNotRetried)
{
    // The service runs the payment and fails before it answers. A retry would charge the payer twice. With and without a key, the payment
    // must run once and the answer must say that it may have run; a repeated request with the same key must not run either.
    for (const bool hasKey : { false, true }) {
        std::atomic<int> runs { 0 };
        const auto failPayment = [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            ++runs;
            exchange->abort();
        };
        const Upstream one(failPayment);
        const Upstream two(failPayment);
        Service service({ one.address(), two.address() });
        const std::string key = hasKey ? service.runner->mintKey() : "";
        const auto caller = std::make_shared<Caller>();
        service.run(caller, "POST", key);
        cr_assert_eq(runs, 1);
        cr_assert_geq(caller->status(), 500);
        cr_assert(caller->bodyContains("may_have_run") || caller->bodyContains("upstream_failed"));
        if (hasKey) {
            const auto again = std::make_shared<Caller>();
            service.run(again, "POST", key);
            cr_assert_eq(runs, 1);
            cr_assert(again->bodyContains("outcome_unknown"));
        }
    }
}

Test(retries, unsentPaymentGoesToTheOtherUpstream)
{
    // One VM of the service is gone and refuses connections, so nothing ran there. The payment must run once on the other upstream.
    std::atomic<int> runs { 0 };
    const Upstream good([&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        ++runs;
        exchange->respond(200, {}, "booked");
    });
    Service service({ Closed, good.address() });
    for (int i = 1; i <= 4; ++i) {
        const auto caller = std::make_shared<Caller>();
        service.run(caller, "POST", service.runner->mintKey());
        cr_assert_eq(caller->status(), 200);
        cr_assert_eq(runs, i);
    }
}

Test(retries, safeMethodIsRetriedOnAnotherUpstream)
{
    // One upstream fails after it has received a GET. The request changes nothing, so it may be sent to the other upstream.
    const Upstream dying([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { exchange->abort(); });
    const Upstream good([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { exchange->respond(200, {}, "ok"); });
    Service service({ dying.address(), good.address() });
    for (int i = 0; i < 4; ++i) {
        const auto caller = std::make_shared<Caller>();
        service.run(caller, "GET");
        cr_assert_eq(caller->status(), 200);
    }
}

Test(retries, fullServiceRefusesCallsAsNotRun)
{
    // A service hangs while calls keep arriving. Calls beyond its concurrency limit must be refused immediately as not run and never reach
    // it.
    std::atomic<int> runs { 0 };
    absl::Mutex mutex;
    std::vector<std::shared_ptr<HttpExchange>> held;
    const Upstream slow([&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        const absl::MutexLock lock(&mutex);
        held.push_back(exchange);
        ++runs;
    });
    Service service({ slow.address() });
    const std::vector<std::shared_ptr<Caller>> waiting { std::make_shared<Caller>(), std::make_shared<Caller>() };
    for (const auto &caller : waiting) {
        service.submit(caller, "POST");
    }
    const auto refused = std::make_shared<Caller>();
    service.run(refused, "POST", service.runner->mintKey());
    cr_assert_eq(refused->status(), 429);
    cr_assert(refused->bodyContains("overloaded"));
    while (runs < 2) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    {
        const absl::MutexLock lock(&mutex);
        for (const auto &exchange : held) {
            exchange->respond(200, {}, "booked");
        }
    }
    for (const auto &caller : waiting) {
        cr_assert(caller->wait([&] { service.runner->tick(); }));
        cr_assert_eq(caller->status(), 200);
    }
    cr_assert_eq(runs, 2);
}

Test(retries, failingEngineIsEjected)
{
    // An engine that fails repeatedly must get no traffic, while others keep theirs.
    NodeFixture fixture;
    fixture.health.setUpstreams(ConfigVersion(1), { UpstreamId("one"), UpstreamId("other") });
    for (int i = 0; i < 5; ++i) {
        fixture.health.onFailure(UpstreamId("one"));
    }
    cr_assert_eq(fixture.health.share(UpstreamId("one")), 0);
    cr_assert_eq(fixture.health.share(UpstreamId("other")), 1);
}
