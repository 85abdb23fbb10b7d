#include "core/keydigest.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <algorithm>

namespace ApricotStep
{

KeyDigest KeyDigest::of(std::string_view key)
{
    static_assert(sizeof(m_bytes) == SHA256_DIGEST_LENGTH);
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.m_bytes.data());
    return digest;
}

std::optional<KeyDigest> KeyDigest::fromHex(std::string_view text)
{
    KeyDigest digest;
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() != digest.m_bytes.size() * 2 || !std::all_of(text.begin(), text.end(), isDigit)) {
        return std::nullopt;
    }
    const std::string bytes = absl::HexStringToBytes(absl::string_view(text.data(), text.size()));
    std::copy(bytes.begin(), bytes.end(), digest.m_bytes.begin());
    return digest;
}

std::string KeyDigest::toHex() const
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(m_bytes.data()), m_bytes.size()));
}

} // namespace ApricotStep
