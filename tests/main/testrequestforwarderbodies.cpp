#include "testrequestforwarderfixture.h"

#include <memory>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

/** The status with which a request is refused at its head; 0 if its body may arrive. */
int statusAtHead(RequestForwarder &forwarder, const HttpRequest &head, RequestSource source = RequestSource::Caller)
{
    const auto caller = std::make_shared<Caller>();
    const auto terms = forwarder.admitBody(head, *caller, source);
    cr_assert_eq(terms.has_value(), !caller->isDone());
    return terms ? 0 : caller->status();
}

} // namespace

// Guards against large bodies that are received although their requests cannot be served.
Test(requestforwarder, requestThatCannotBeServedIsRefusedAtItsHead)
{
    ForwarderFixture fixture;
    const HttpRequest proper = ForwarderFixture::request();
    cr_assert_eq(statusAtHead(*fixture.forwarder, proper), 503, "there is no configuration");
    fixture.configure(RequestKind::Idempotent, 2);
    cr_assert_eq(statusAtHead(*fixture.forwarder, proper), 0);
    HttpRequest unknown = proper;
    unknown.target = "/elsewhere/";
    cr_assert_eq(statusAtHead(*fixture.forwarder, unknown), 404);
    HttpRequest withoutId = proper;
    withoutId.headers.erase("apricotstep-request-id");
    cr_assert_eq(statusAtHead(*fixture.forwarder, withoutId), 400);
}

// Guards against bodies that are longer than the configuration allows, or that may arrive after the request is over.
Test(requestforwarder, bodyHasTheLimitOfTheConfigurationAndTheTimeOfItsRequest)
{
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 2, false, Duration(1500));
    const auto caller = std::make_shared<Caller>();
    HttpRequest request = ForwarderFixture::request();
    const auto terms = fixture.forwarder->admitBody(request, *caller, RequestSource::Caller);
    cr_assert_eq(terms->maxBytes, 1000);
    cr_assert_eq(terms->timeout.milliseconds(), 1200, "the caller's deadline");
    request.headers["apricotstep-deadline-ms"] = "60000";
    const auto longer = fixture.forwarder->admitBody(request, *caller, RequestSource::Caller);
    cr_assert_eq(longer->timeout.milliseconds(), 1500, "the timeout of the route");
}

// Guards against callers without a key that make a node receive large bodies, and against relayed requests that are refused for a key,
// which never leaves the node of the caller.
Test(requestforwarder, keyIsCheckedAtTheHead)
{
    KeyFixture fixture;
    cr_assert_eq(statusAtHead(*fixture.forwarder, KeyFixture::requestOf("/in/x", "Token good", "")), 0);
    cr_assert_eq(statusAtHead(*fixture.forwarder, KeyFixture::requestOf("/in/x", "Token bad", "")), 401);
    cr_assert_eq(statusAtHead(*fixture.forwarder, KeyFixture::requestOf("/in/x", "", "")), 401);
    cr_assert_eq(statusAtHead(*fixture.forwarder, KeyFixture::requestOf("/open/x", "", "")), 0);
    cr_assert_eq(statusAtHead(*fixture.forwarder, KeyFixture::requestOf("/in/x", "", ""), RequestSource::Node), 0);
}
