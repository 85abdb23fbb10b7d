#include "transport/exchangehistory.h"

#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const ConnectionEnds Ends { "10.0.0.1", 80, 40000 };

} // namespace

// Guards against an id that tells two answers on one connection apart only by chance.
Test(exchangehistory, connectionCarriesAnIdOnce)
{
    ExchangeHistory history;
    history.opened(7, Ends);
    cr_assert(history.canCarry(Ends, "a"));
    cr_assert_eq(history.onSent(Ends, "a"), 0);
    cr_assert_not(history.canCarry(Ends, "a"));
    cr_assert(history.canCarry(Ends, "b"));
    cr_assert_eq(history.onSent(Ends, "b"), 1);
    cr_assert_not(history.canCarry(Ends, "a"));
}

// Guards against a new connection that inherits the calls of a closed one with the same ends, or with the same socket number.
Test(exchangehistory, newConnectionHasCarriedNothing)
{
    ExchangeHistory history;
    history.opened(7, Ends);
    history.onSent(Ends, "a");
    history.closed(7);
    cr_assert_not(history.canCarry(Ends, "a"), "nothing is known of a closed connection");
    history.opened(8, Ends);
    cr_assert(history.canCarry(Ends, "a"));
    history.onSent(Ends, "a");
    const ConnectionEnds other { "10.0.0.1", 80, 40001 };
    history.opened(8, other);
    cr_assert(history.canCarry(other, "a"));
}

// Guards against a connection whose first calls have been forgotten and that is taken for one that did not carry them.
Test(exchangehistory, connectionOfManyCallsCarriesNoMore)
{
    ExchangeHistory history;
    history.opened(7, Ends);
    for (std::size_t i = 0; i < ExchangeHistory::MaxCalls; ++i) {
        cr_assert(history.canCarry(Ends, "id " + std::to_string(i)));
        cr_assert_eq(history.onSent(Ends, "id " + std::to_string(i)), i);
    }
    cr_assert_not(history.canCarry(Ends, "another"));
}
