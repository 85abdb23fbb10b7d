#include "coordination/idempotencykey.h"

#include "core/hash.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace ApricotStep
{

namespace
{

constexpr std::string_view Prefix = "ik1";
constexpr std::size_t FieldCount = 6;
constexpr std::size_t MaxLength = 512;

Error invalidKeyError()
{
    return { ErrorKind::KeyInvalid, "ask POST /v1/keys for a key and send it unchanged" };
}

} // namespace

std::string IdempotencyKey::encode(std::string_view secret) const
{
    const std::string signedPart = absl::StrCat(absl::string_view(Prefix.data(), Prefix.size()), ".", node.value(), ".",
        incarnation.value(), ".", mintedAt.milliseconds(), ".", counter);
    return signedPart + '.' + hmacHex(secret, signedPart);
}

Result<IdempotencyKey> IdempotencyKey::decode(std::string_view text, std::string_view secret)
{
    const std::size_t last = text.rfind('.');
    if (text.size() > MaxLength || last == std::string_view::npos
        || !equalConstantTime(hmacHex(secret, text.substr(0, last)), text.substr(last + 1))) {
        return invalidKeyError();
    }
    const std::vector<std::string> fields = absl::StrSplit(std::string(text), '.');
    IdempotencyKey key;
    std::uint64_t incarnation = 0;
    std::int64_t mintedAt = 0;
    const bool isComplete = fields.size() == FieldCount && fields[0] == Prefix && absl::SimpleAtoi(fields[2], &incarnation)
        && absl::SimpleAtoi(fields[3], &mintedAt) && absl::SimpleAtoi(fields[4], &key.counter);
    if (!isComplete) {
        return invalidKeyError();
    }
    key.node = NodeId(fields[1]);
    key.incarnation = Incarnation(incarnation);
    key.mintedAt = Time(mintedAt);
    return key;
}

} // namespace ApricotStep
