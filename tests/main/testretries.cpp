#include "main/enginerunner.h"
#include "main/servicerunner.h"
#include "tests/main/fixtures.h"

#include <criterion/criterion.h>

using namespace Fixtures;

namespace
{

// Nothing listens here.
const std::string Closed = "127.0.0.1:9";
const std::string Stream = "data: one\n\ndata: [DONE]\n\n";

UpstreamSpec spec(const std::string &id, const std::string &address)
{
    UpstreamSpec spec;
    spec.id = UpstreamId(id);
    spec.address = address;
    return spec;
}

// An engine that holds adapters, with a hook for completions: the number of the completion tells how often one arrived.
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

// Two engines at most: the first, and another for what fails there.
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

// A plain service of some upstreams.
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
    // An engine restarts between two requests and forgets what it had loaded. The second caller must only wait a little longer.
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
    // An engine says yes to each load and forgets at once. The caller gets a refusal that is truly not run, not an endless wait.
    std::atomic<int> asked { 0 };
    const Upstream forgetful([&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        const bool isLoad = request.path == "/v1/load_lora_adapter";
        asked += isLoad ? 0 : 1;
        exchange->respond(isLoad ? 200 : 404, {}, "{}");
    });
    Engines engines(forgetful.address());
    const auto caller = std::make_shared<Caller>();
    engines.run(caller);
    cr_assert_eq(caller->status(), 503);
    cr_assert(caller->bodyContains("upstream_refused"));
    cr_assert_eq(asked, 3);
}

Test(retries, unreachableEngineIsReplaced)
{
    // A VM is gone and its connections are refused. Nothing was sent, so another engine answers and the caller notices nothing.
    Engine good(answerOk);
    Engines engines(Closed, good.address());
    const auto caller = std::make_shared<Caller>();
    engines.run(caller);
    cr_assert_eq(caller->status(), 200);
}

Test(retries, failureBeforeTheFirstByteIsRetried)
{
    // The engine took the request and died before it answered, once asked for a whole answer and once for a stream.
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
    // The engine dies in the middle of a stream. A second attempt would give the caller the first half twice; it must see the break.
    std::shared_ptr<HttpExchange> half;
    Engine dying([&](int, const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        half = exchange;
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
    half->abort();
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
    // The service books the payment and dies before it answers. Sent again, the family would be charged twice. With a key or without,
    // one run and an answer that says that it may have run; a repeat under the key must not run either.
    for (const bool hasKey : { false, true }) {
        std::atomic<int> runs { 0 };
        const auto book = [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            ++runs;
            exchange->abort();
        };
        const Upstream one(book);
        const Upstream two(book);
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
    // One VM of the service is gone: its connection is refused, so nothing ran there, and the payment runs once on the other.
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
    // A service hangs while calls keep coming. Those beyond what it bears are refused at once, not run, and never reach it.
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
    NodeFixture fixture;
    fixture.health.setUpstreams(ConfigVersion(1), { UpstreamId("one"), UpstreamId("other") });
    for (int i = 0; i < 5; ++i) {
        fixture.health.onFailure(UpstreamId("one"));
    }
    cr_assert_eq(fixture.health.share(UpstreamId("one")), 0);
    cr_assert_eq(fixture.health.share(UpstreamId("other")), 1);
}
