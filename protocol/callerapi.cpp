#include "protocol/callerapi.h"

#include "core/jsonnesting.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

constexpr int MaxTokensLimit = 1'000'000;

Error badRequest(std::string detail)
{
    return { ErrorKind::BadRequest, std::move(detail) };
}

std::string dump(const Json &json)
{
    // Replaces invalid UTF-8 instead of throwing, since an error message may quote a caller's bytes.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

Result<CompletionRequest> parseCompletionRequest(std::string_view body)
{
    if (isJsonNestedTooDeep(body)) {
        return badRequest("the body is nested more than 64 levels deep");
    }
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return badRequest("the body is not a JSON object");
    }
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string()) {
        return badRequest("'model' must be a string: adapter, adapter@version or name=value[,name=value]");
    }
    CompletionRequest request;
    request.selector = model->get<std::string>();
    const auto stream = json.find("stream");
    if (stream != json.end()) {
        if (!stream->is_boolean()) {
            return badRequest("'stream' must be true or false");
        }
        request.isStream = stream->get<bool>();
    }
    const auto maxTokens = json.find("max_tokens");
    if (maxTokens != json.end()) {
        if (!maxTokens->is_number_integer() || maxTokens->get<std::int64_t>() < 1 || maxTokens->get<std::int64_t>() > MaxTokensLimit) {
            return badRequest("'max_tokens' must be a whole number from 1 to 1000000");
        }
        request.maxTokens = maxTokens->get<int>();
    }
    const auto user = json.find("user");
    if (user != json.end() && user->is_string()) {
        request.user = user->get<std::string>();
    }
    return request;
}

std::string withModel(std::string_view body, const AdapterKey &adapter)
{
    Json json = Json::parse(body, nullptr, false);
    json["model"] = adapter.name();
    return dump(json);
}

std::string addressBody(const AddressAnswer &answer)
{
    Json json;
    json["adapter"] = answer.adapter.id.value();
    json["version"] = answer.adapter.version.value();
    json["config_version"] = answer.version.value();
    json["keep_ms"] = answer.keepFor.milliseconds();
    json["addresses"] = Json::array();
    for (const AddressChoice &choice : answer.choices) {
        json["addresses"].push_back({ { "node", choice.node.value() }, { "zone", choice.zone.value() }, { "address", choice.address } });
    }
    if (!answer.key.empty()) {
        json["idempotency_key"] = answer.key;
    }
    for (const AddressCandidate &candidate : answer.candidates) {
        json["candidates"].push_back({ { "upstream", candidate.upstream.value() }, { "owner", candidate.owner.value() } });
    }
    return dump(json);
}

std::string keyBody(std::string_view key, Duration lifetime)
{
    return dump({ { "idempotency_key", key }, { "lifetime_ms", lifetime.milliseconds() } });
}

std::string retryAfterText(Duration delay)
{
    char text[24] = {};
    std::snprintf(text, sizeof text, "%.3f", delay.toSeconds());
    return text;
}

std::string errorBody(ErrorKind kind, const ErrorDetails &details)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    Json error;
    error["message"] = std::string(answer.description) + (details.detail.empty() ? "" : " " + details.detail);
    error["type"] = answer.httpStatus < 500 ? "invalid_request_error" : "server_error";
    error["code"] = answer.code;
    error["not_run"] = answer.runState == RunState::NotRun;
    error["retry"] = retryAdviceName(answer.retry);
    if (details.retryAfter > Duration(0)) {
        error["retry_after_ms"] = details.retryAfter.milliseconds();
    }
    if (!details.address.empty()) {
        error["address"] = details.address;
    }
    if (!details.key.empty()) {
        error["idempotency_key"] = details.key;
    }
    if (!details.requestId.empty()) {
        error["request_id"] = details.requestId;
    }
    return dump({ { "error", error } });
}

std::string errorEvent(ErrorKind kind, const ErrorDetails &details)
{
    return "event: error\ndata: " + errorBody(kind, details) + "\n\n";
}

std::string modelsBody(const Catalog &catalog, std::size_t limit)
{
    Json list = Json::array();
    for (const AdapterSpec &adapter : catalog.adapters(limit)) {
        Json labels = Json::object();
        for (const Label &label : adapter.labels) {
            labels[label.name] = label.value;
        }
        list.push_back({ { "id", adapter.key.name() }, { "object", "model" }, { "owned_by", "apricotstep" }, { "labels", labels } });
    }
    return dump(
        { { "object", "list" }, { "data", list }, { "total", catalog.adapterCount() }, { "config_version", catalog.version().value() } });
}

Result<Priority> parsePriority(std::string_view priorityName)
{
    const auto at = std::find(PriorityNames.begin(), PriorityNames.end(), priorityName);
    if (at == PriorityNames.end()) {
        return badRequest("the priority must be urgent, standard or patient");
    }
    return static_cast<Priority>(at - PriorityNames.begin());
}

} // namespace ApricotStep
