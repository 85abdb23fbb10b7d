#include "core/errors.h"

#include <set>
#include <string_view>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(errors, everyKindHasItsOwnRowAndCode)
{
    std::set<std::string_view> codes;
    int expected = 1;
    for (const ErrorAnswer *row = errorAnswersBegin(); row != errorAnswersEnd(); ++row) {
        cr_assert_eq(static_cast<int>(row->kind), expected, "row %d is out of order", expected);
        cr_assert(codes.insert(row->code).second, "an error code is used twice");
        cr_assert(row->httpStatus >= 400 && row->httpStatus <= 599);
        cr_assert_eq(&errorAnswer(row->kind), row);
        ++expected;
    }
}

Test(errors, retryIsNeverAdvisedWhenTheRequestMayHaveRun)
{
    // A program that follows the retry advice must not execute a payment twice.
    for (const ErrorAnswer *row = errorAnswersBegin(); row != errorAnswersEnd(); ++row) {
        if (row->runState == RunState::MayHaveRun) {
            cr_assert(row->retry == RetryAdvice::Never, "kind %d", static_cast<int>(row->kind));
        }
    }
}

Test(errors, kindConvertsToErrorCode)
{
    const std::error_code errorCode = ErrorKind::Overloaded;
    cr_assert_eq(errorCode.value(), static_cast<int>(ErrorKind::Overloaded));
    cr_assert(std::string_view(errorCode.category().name()) == "apricotstep");
}
