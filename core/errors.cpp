#include "core/errors.h"

#include <array>
#include <iterator>
#include <string>

namespace ApricotStep
{

namespace
{

using enum ErrorKind;
using enum RunState;

// One row per kind, in the order of ErrorKind. NotRun guarantees that the request did not run: a kind may have it only if nothing can
// have reached an upstream, or if the upstream's declared contract states that it refused the request before execution.
constexpr std::array Answers {
    ErrorAnswer { BadRequest, 400, "bad_request", NotRun, RetryAdvice::Never, "The request is malformed." },
    ErrorAnswer { Unauthenticated, 401, "unauthenticated", NotRun, RetryAdvice::Never, "The request has no key that is in use." },
    ErrorAnswer { KeysOutdated, 503, "keys_outdated", NotRun, RetryAdvice::OtherNode,
        "This node has been unable for too long to learn which keys were withdrawn." },
    ErrorAnswer { LimitExceeded, 429, "limit_exceeded", NotRun, RetryAdvice::AfterDelay, "The request is beyond its team's limit." },
    ErrorAnswer { LimitUnknown, 503, "limit_unknown", NotRun, RetryAdvice::OtherNode,
        "This node cannot learn now how much of its team's limit is left." },
    ErrorAnswer { NotFound, 404, "not_found", NotRun, RetryAdvice::Never, "There is nothing at this path." },
    ErrorAnswer { MethodNotAllowed, 405, "method_not_allowed", NotRun, RetryAdvice::Never, "This path does not take this method." },
    ErrorAnswer { RequestTooLarge, 413, "request_too_large", NotRun, RetryAdvice::Never, "The request is larger than this node accepts." },
    ErrorAnswer { RequestTimeout, 408, "request_timeout", NotRun, RetryAdvice::SameRequest, "The request did not arrive whole in time." },
    ErrorAnswer { NoMemory, 503, "no_memory", NotRun, RetryAdvice::OtherNode, "This node has no memory now for a request of this size." },
    ErrorAnswer { UnknownSelector, 404, "unknown_selector", NotRun, RetryAdvice::Never, "No adapter version matches the selector." },
    ErrorAnswer {
        AmbiguousSelector, 409, "ambiguous_selector", NotRun, RetryAdvice::Never, "The selector matches more than one adapter version." },
    ErrorAnswer { UnknownService, 404, "unknown_service", NotRun, RetryAdvice::Never, "No service has this name." },
    ErrorAnswer { KeyRequired, 428, "idempotency_key_required", NotRun, RetryAdvice::SameKey,
        "This call needs an idempotency key minted here; send it again with the key in this answer." },
    ErrorAnswer { KeyInvalid, 400, "idempotency_key_invalid", NotRun, RetryAdvice::Never, "This idempotency key was not minted here." },
    ErrorAnswer {
        KeyMismatch, 422, "idempotency_key_reused", NotRun, RetryAdvice::Never, "This idempotency key belongs to a different request." },
    // Not NotRun: this request does not run, but an earlier one with the same key may have, and the caller needs to know whether the
    // action was carried out.
    ErrorAnswer { KeyExpired, 410, "idempotency_key_expired", MayHaveRun, RetryAdvice::Never,
        "This idempotency key is past its lifetime; an earlier request under it may have run." },
    ErrorAnswer { OutcomeUnknown, 409, "outcome_unknown", MayHaveRun, RetryAdvice::Never,
        "The request may have run and will not be run again; look at the service for its outcome." },
    ErrorAnswer {
        LedgerFull, 503, "ledger_full", NotRun, RetryAdvice::AfterDelay, "This node remembers as many one-time requests as it can." },
    ErrorAnswer { Overloaded, 429, "overloaded", NotRun, RetryAdvice::AfterDelay, "The wait would be longer than the deadline." },
    ErrorAnswer { DeadlineTooShort, 400, "deadline_too_short", NotRun, RetryAdvice::Never, "The deadline has passed on arrival." },
    ErrorAnswer { DeadlinePassed, 504, "deadline_passed", NotRun, RetryAdvice::AfterDelay,
        "The deadline passed before the request was sent to an upstream." },
    ErrorAnswer { NotReady, 503, "not_ready", NotRun, RetryAdvice::OtherNode, "This node has no configuration yet." },
    ErrorAnswer { Draining, 503, "draining", NotRun, RetryAdvice::OtherNode, "This node is shutting down." },
    ErrorAnswer {
        WrongNode, 421, "wrong_node", NotRun, RetryAdvice::OtherNode, "Another node serves this adapter; its address is in this answer." },
    ErrorAnswer {
        TooManyHops, 508, "too_many_hops", NotRun, RetryAdvice::OtherNode, "The nodes do not agree yet which of them serves this." },
    ErrorAnswer { NoUpstream, 503, "no_upstream", NotRun, RetryAdvice::AfterDelay, "No upstream can take this request now." },
    ErrorAnswer { UpstreamUnreachable, 503, "upstream_unreachable", NotRun, RetryAdvice::AfterDelay,
        "The upstream could not be reached; nothing was sent." },
    ErrorAnswer {
        UpstreamRefused, 503, "upstream_refused", NotRun, RetryAdvice::AfterDelay, "The upstream refused the request before running it." },
    ErrorAnswer { StreamUnknown, 503, "stream_unknown", NotRun, RetryAdvice::OtherNode,
        "This node cannot learn now which software version began the stream, so it does not continue it." },
    ErrorAnswer { StreamVersionGone, 503, "stream_version_gone", NotRun, RetryAdvice::AfterDelay,
        "No upstream of the software version that began the stream takes requests now." },
    ErrorAnswer { ContentHeldBack, 400, "content_held_back", NotRun, RetryAdvice::Never,
        "Upstreams ended each time that they began to answer what this request holds." },
    ErrorAnswer { AdapterLoadFailed, 503, "adapter_load_failed", NotRun, RetryAdvice::AfterDelay, "The adapter could not be loaded." },
    ErrorAnswer { AdapterTooLarge, 503, "adapter_too_large", NotRun, RetryAdvice::Never,
        "No engine has room for this adapter, by the configuration in force." },
    ErrorAnswer {
        UpstreamFailed, 502, "upstream_failed", MayHaveRun, RetryAdvice::Never, "The upstream failed after the request was sent." },
    ErrorAnswer { UpstreamTimeout, 504, "upstream_timeout", MayHaveRun, RetryAdvice::Never, "The upstream did not answer in time." },
    ErrorAnswer { StreamCut, 502, "stream_cut", MayHaveRun, RetryAdvice::Never, "The answer broke off; what came so far is not whole." },
    ErrorAnswer { CallerGone, 499, "caller_gone", MayHaveRun, RetryAdvice::Never, "The caller closed its connection." },
    ErrorAnswer { Internal, 500, "internal", MayHaveRun, RetryAdvice::Never, "This node met a fault of its own." },
    ErrorAnswer { SettingsInvalid, 500, "settings_invalid", NotRun, RetryAdvice::Never, "The settings are not valid." },
    ErrorAnswer { ConfigInvalid, 500, "config_invalid", NotRun, RetryAdvice::Never, "The published configuration is not valid." },
    ErrorAnswer {
        StaleConfig, 500, "stale_config", NotRun, RetryAdvice::Never, "The published configuration is older than the one in force." },
    ErrorAnswer { PeerUnreachable, 503, "peer_unreachable", NotRun, RetryAdvice::OtherNode,
        "The node that serves this could not be reached; nothing was sent." },
    // Not NotRun: an earlier request with the same key may have run at the unreachable node.
    ErrorAnswer { OwnerUnreachable, 503, "owner_unreachable", MayHaveRun, RetryAdvice::Never,
        "The node that knows whether this one-time request ran could not be reached; asking again with the same key is safe." },
};

static_assert(Answers.size() == static_cast<std::size_t>(OwnerUnreachable), "every kind needs one row");

class Category final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "apricotstep";
    }
    std::string message(int value) const override
    {
        return std::string(errorAnswer(static_cast<ErrorKind>(value)).description);
    }
};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind) - 1;
    return index < Answers.size() ? Answers[index] : errorAnswer(Internal);
}

const ErrorAnswer *errorAnswersBegin()
{
    return Answers.data();
}

const ErrorAnswer *errorAnswersEnd()
{
    return Answers.data() + Answers.size();
}

std::string_view retryAdviceName(RetryAdvice advice)
{
    switch (advice) {
    case RetryAdvice::Never:
        return "never";
    case RetryAdvice::SameRequest:
        return "same_request";
    case RetryAdvice::AfterDelay:
        return "after_delay";
    case RetryAdvice::OtherNode:
        return "other_node";
    case RetryAdvice::SameKey:
        return "same_key";
    }
    return "never";
}

const std::error_category &errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorKind kind)
{
    return { static_cast<int>(kind), errorCategory() };
}

} // namespace ApricotStep
