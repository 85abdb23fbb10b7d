#pragma once

#include "coordination/workitem.h"
#include "core/result.h"
#include "state/catalog.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The fields of an OpenAI-style completion request that the node reads. The other fields are forwarded to the engine unchanged. */
struct CompletionRequest
{
    std::string selector;
    bool isStream = false;
    /** Maximum number of tokens that the caller requests; 0 if it set none. */
    int maxTokens = 0;
    /** The `user` field; may be empty. */
    std::string user;
};

/** One node in an address answer. */
struct AddressChoice
{
    NodeId node;
    ZoneId zone;
    /** host:port. */
    std::string address;
};

/** An engine on which an adapter can run, and the node that owns the engine. */
struct AddressCandidate
{
    UpstreamId upstream;
    NodeId owner;
};

/** The answer to a caller that asks which nodes to send an adapter's requests to. */
struct AddressAnswer
{
    AdapterKey adapter;
    ConfigVersion version;
    /** Best first. */
    std::vector<AddressChoice> choices;
    /** How long the caller may cache the answer. */
    Duration keepFor;
    /** A new idempotency key for the caller; may be empty. */
    std::string key;
    /** The adapter's engines, best first, from whose owners the choices are taken; empty unless the caller asks for them. */
    std::vector<AddressCandidate> candidates;
};

/** The optional fields of an error's answer. */
struct ErrorDetails
{
    std::string detail;
    /** Delay before a retry; zero if none is advised. */
    Duration retryAfter;
    /** host:port of the node that serves the request; may be empty. */
    std::string address;
    /** A new idempotency key for the caller; may be empty. */
    std::string key;
    std::string requestId;
};

/** Parses the body of a completion request. Errors: BadRequest. */
Result<CompletionRequest> parseCompletionRequest(std::string_view body);

/** Returns @p body with `model` replaced by the name of @p adapter. parseCompletionRequest() must accept @p body. */
std::string withModel(std::string_view body, const AdapterKey &adapter);

std::string addressBody(const AddressAnswer &answer);
std::string keyBody(std::string_view key, Duration lifetime);
/** The value of Retry-After: @p delay in seconds. */
std::string retryAfterText(Duration delay);

/** The body of an error answer: an OpenAI error object with `not_run` and the retry advice as additional fields. */
std::string errorBody(ErrorKind kind, const ErrorDetails &details);
/** The same as a server-sent event, for a stream that has already begun. */
std::string errorEvent(ErrorKind kind, const ErrorDetails &details);
/** The body of the model list, with at most @p limit adapter versions. */
std::string modelsBody(const Catalog &catalog, std::size_t limit);

/** Parses the name of a priority. Errors: BadRequest. */
Result<Priority> parsePriority(std::string_view priorityName);

} // namespace ApricotStep
