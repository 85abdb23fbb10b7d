#pragma once

#include <string_view>
#include <system_error>

namespace ApricotStep
{

/** All errors that a caller, an operator or another node can receive. The list is closed; errorAnswer() has a row for each. */
enum class ErrorKind {
    BadRequest = 1,
    Unauthenticated,
    KeysOutdated,
    LimitExceeded,
    LimitUnknown,
    NotFound,
    MethodNotAllowed,
    RequestTooLarge,
    RequestTimeout,
    NoMemory,
    UnknownSelector,
    AmbiguousSelector,
    UnknownService,
    KeyRequired,
    KeyInvalid,
    KeyMismatch,
    KeyExpired,
    OutcomeUnknown,
    LedgerFull,
    Overloaded,
    DeadlineTooShort,
    DeadlinePassed,
    NotReady,
    Draining,
    WrongNode,
    TooManyHops,
    NoUpstream,
    UpstreamUnreachable,
    UpstreamRefused,
    StreamUnknown,
    StreamVersionGone,
    ContentHeldBack,
    AdapterLoadFailed,
    AdapterTooLarge,
    UpstreamFailed,
    UpstreamTimeout,
    StreamCut,
    CallerGone,
    Internal,
    SettingsInvalid,
    ConfigInvalid,
    StaleConfig,
    PeerUnreachable,
    OwnerUnreachable,
};

/** Whether a failed request may have run at an upstream. */
enum class RunState {
    NotRun,
    MayHaveRun,
};

/** What a caller should do next. */
enum class RetryAdvice {
    Never,
    SameRequest,
    AfterDelay,
    OtherNode,
    SameKey,
};

/** How one kind of error is answered. */
struct ErrorAnswer
{
    ErrorKind kind;
    /** HTTP status, 400 to 599. */
    int httpStatus;
    /** The code that programs match on; never changes once released. */
    std::string_view code;
    RunState runState;
    RetryAdvice retry;
    /** One sentence for people to read. */
    std::string_view description;
};

/** The table row of @p kind; every kind has one. */
const ErrorAnswer &errorAnswer(ErrorKind kind);

/** Range of all rows, for the reference page and for tests. */
const ErrorAnswer *errorAnswersBegin();
const ErrorAnswer *errorAnswersEnd();

/** The name of @p advice in the body of an answer. */
std::string_view retryAdviceName(RetryAdvice advice);

const std::error_category &errorCategory();
std::error_code make_error_code(ErrorKind kind);

} // namespace ApricotStep

template<>
struct std::is_error_code_enum<ApricotStep::ErrorKind> : std::true_type
{
};
