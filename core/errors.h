#pragma once

#include <string_view>
#include <system_error>

namespace ApricotStep
{

/** Everything that can go wrong towards a caller, an operator or another node. The list is closed: see errorAnswer(). */
enum class ErrorKind {
    BadRequest = 1,
    NotFound,
    MethodNotAllowed,
    RequestTooLarge,
    RequestTimeout,
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
    AdapterLoadFailed,
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

/** What a failed request may have done at an upstream. */
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

/** The answer to one kind of error. */
struct ErrorAnswer
{
    ErrorKind kind;
    /** HTTP status, 400 to 599. */
    int httpStatus;
    /** The word that programs match on; never changes once released. */
    std::string_view code;
    RunState runState;
    RetryAdvice retry;
    /** One sentence for a person. */
    std::string_view description;
};

/** The row of the closed table for @p kind; defined for every kind. */
const ErrorAnswer &errorAnswer(ErrorKind kind);

/** All rows, for the reference page and for tests. */
const ErrorAnswer *errorAnswersBegin();
const ErrorAnswer *errorAnswersEnd();

/** The word for @p advice as it stands in an answer's body. */
std::string_view retryAdviceName(RetryAdvice advice);

const std::error_category &errorCategory();
std::error_code make_error_code(ErrorKind kind);

} // namespace ApricotStep

template<>
struct std::is_error_code_enum<ApricotStep::ErrorKind> : std::true_type
{
};
