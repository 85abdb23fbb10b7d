#include "main/entry/contentdigest.h"

#include "core/hash.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <initializer_list>
#include <string_view>

namespace ApricotStep
{

namespace
{

// A cryptographic hash, since a caller that could construct a second content with the same digest could get others refused.
ContentDigest digestOf(std::initializer_list<std::string_view> fields)
{
    constexpr std::size_t DigestDigits = 16;
    Sha256 hash;
    for (const std::string_view field : fields) {
        hash.update(std::to_string(field.size()));
        hash.update(":");
        hash.update(field);
    }
    std::uint64_t value = 0;
    static_cast<void>(absl::SimpleHexAtoi(hash.hex().substr(0, DigestDigits), &value)); // The digits are hexadecimal.
    return ContentDigest(value);
}

} // namespace

// Ids, deadlines and the event after which a stream continues differ between the attempts of one caller.
RequestContent describeContent(const HttpRequest &request, const Platform::CallerRequest &decoded)
{
    if (!decoded.generation) {
        return RequestContent { digestOf({ request.method, decoded.host, request.target, request.body }) };
    }
    const Platform::GenerationRequest &generation = *decoded.generation;
    const std::string parts = absl::StrJoin(generation.promptParts, ",");
    RequestContent content { digestOf({ request.method, decoded.host, request.target, request.body, generation.model.value(),
        generation.adapter.value(), std::to_string(generation.promptTokens), std::to_string(generation.maxAnswerTokens), parts }) };
    content.adapter = digestOf({ generation.model.value(), generation.adapter.value() });
    for (const std::string &part : generation.promptParts) {
        content.parts.push_back(digestOf({ part }));
    }
    return content;
}

std::string digestName(ContentDigest digest)
{
    return absl::StrCat(absl::Hex(digest.value(), absl::kZeroPad16));
}

} // namespace ApricotStep
