#pragma once

#include "coordination/workitem.h"
#include "core/result.h"
#include "state/catalog.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The part of an OpenAI-style completion request that the node reads; the rest goes to the engine unchanged. */
struct CompletionRequest
{
    std::string selector;
    bool isStream = false;
    /** Tokens that the caller asks for at most; 0 when it did not say. */
    int maxTokens = 0;
    /** The `user` field; may be empty. */
    std::string user;
};

/** One address of an address answer. */
struct AddressChoice
{
    NodeId node;
    ZoneId zone;
    /** host:port. */
    std::string address;
};

/** An engine of an adapter and the node that owns it. */
struct AddressCandidate
{
    UpstreamId upstream;
    NodeId owner;
};

struct AddressAnswer
{
    AdapterKey adapter;
    ConfigVersion version;
    /** Best first. */
    std::vector<AddressChoice> choices;
    /** How long the caller may keep the answer. */
    Duration keepFor;
    /** A minted idempotency key, or empty. */
    std::string key;
    /** The adapter's engines, best first, from which the choices come; empty unless asked for. */
    std::vector<AddressCandidate> candidates;
};

/** What stands beside an error in its answer. */
struct ErrorDetails
{
    std::string detail;
    /** Zero means no advice. */
    Duration retryAfter;
    /** The right node's host:port, or empty. */
    std::string address;
    /** A minted idempotency key, or empty. */
    std::string key;
    std::string requestId;
};

/** Reads a request body. Errors: BadRequest. */
Result<CompletionRequest> parseCompletionRequest(std::string_view body);

/** The same body with `model` replaced by the adapter that the request resolved to. The body must have parsed before. */
std::string withModel(std::string_view body, const AdapterKey &adapter);

std::string addressBody(const AddressAnswer &answer);
std::string keyBody(std::string_view key, Duration lifetime);
/** An error in the OpenAI error shape, with `not_run` and retry advice beside its own fields. */
std::string errorBody(ErrorKind kind, const ErrorDetails &details);
/** The same as a server-sent event, for an answer that has begun already. */
std::string errorEvent(ErrorKind kind, const ErrorDetails &details);
std::string modelsBody(const Catalog &catalog, std::size_t limit);

/** Reads a class of requests by its word. Errors: BadRequest. */
Result<Priority> parsePriority(std::string_view word);

} // namespace ApricotStep
