#include "transport/callhandle.h"
#include "transport/httpserver.h"
#include "transport/ioloop.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

/** A loop, a server that answers each request with its path, and the events of the calls to it. */
struct CallFixture
{
    SystemClock clock;
    IoLoop loop { clock };
    std::unique_ptr<HttpServer> server =
        std::move(HttpServer::start({}, [](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            exchange->respond(200, {}, request.path);
        }).value());
    std::vector<std::string> events;

    HttpCall call(const std::string &name, std::function<void()> onEnd = {})
    {
        HttpCall result;
        result.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/" + name;
        result.maySend = [this, name] {
            events.push_back(name + " is sent");
            return true;
        };
        result.onHead = [this, name](int, const HttpHeaders &) { events.push_back(name + " has a head"); };
        result.onData = [this, name](std::string_view data) {
            events.push_back(name + " has " + std::string(data));
            return true;
        };
        result.onDone = [this, name, onEnd = std::move(onEnd)](const CallResult &) {
            events.push_back(name + " is done");
            if (onEnd) {
                onEnd();
            }
        };
        return result;
    }
    void run(Duration span = Duration(300))
    {
        loop.after(span, [this] { loop.stop(); });
        loop.run();
    }
    std::vector<std::string> eventsOf(const std::string &name) const
    {
        std::vector<std::string> result;
        for (const std::string &event : events) {
            if (event.starts_with(name + " ")) {
                result.push_back(event);
            }
        }
        return result;
    }
};

const std::vector<std::string> WholeSecond { "second is sent", "second has a head", "second has /second", "second is done" };

} // namespace

// Guards against the end of a cancelled call that is taken for that of the call which its owner starts in the same turn of the loop.
Test(callhandle, cancelledCallIsSilentBesideTheNextOne)
{
    CallFixture fixture;
    CallHandle handle;
    HttpCall first = fixture.call("first");
    bool isCancelled = false;
    first.onHead = [&](int, const HttpHeaders &) {
        handle.cancel();
        isCancelled = true;
        handle.start(fixture.loop.client(), fixture.call("second"));
    };
    handle.start(fixture.loop.client(), std::move(first));
    fixture.run();
    cr_assert(isCancelled);
    cr_assert(fixture.eventsOf("first") == std::vector<std::string> { "first is sent" });
    cr_assert(fixture.eventsOf("second") == WholeSecond);
    cr_assert_not(handle.isActive());
}

// Guards against a call that is sent although its owner has cancelled it, replaced it or gone before its connection was open.
Test(callhandle, callThatNobodyOwnsIsNotSent)
{
    CallFixture fixture;
    CallHandle handle;
    handle.start(fixture.loop.client(), fixture.call("cancelled"));
    handle.cancel();
    handle.start(fixture.loop.client(), fixture.call("replaced"));
    handle.start(fixture.loop.client(), fixture.call("second"));
    {
        CallHandle destroyed;
        destroyed.start(fixture.loop.client(), fixture.call("destroyed"));
    }
    fixture.run();
    cr_assert(fixture.events == WholeSecond);
}

// Guards against an owner that cannot start its next call when it is told of the end of the last one, and against one that cancels the
// next.
Test(callhandle, nextCallStartsAtTheEndOfTheLastOne)
{
    CallFixture fixture;
    CallHandle handle;
    handle.start(fixture.loop.client(), fixture.call("first", [&] {
        cr_assert_not(handle.isActive());
        handle.cancel();
        handle.start(fixture.loop.client(), fixture.call("second"));
        cr_assert(handle.isActive());
    }));
    cr_assert(handle.isActive());
    fixture.run();
    cr_assert(fixture.eventsOf("first").back() == "first is done");
    cr_assert(fixture.eventsOf("second") == WholeSecond);
}
