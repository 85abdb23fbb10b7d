#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ApricotStep
{

/**
 * SHA-256 of a caller's key.
 *
 * Nodes keep and compare digests only, so that no key can reach a log, a message to another node or an upstream. A lookup of digests also
 * tells nothing about the stored keys by the time it takes.
 */
class KeyDigest
{
public:
    static KeyDigest of(std::string_view key);
    /** Decodes the result of toHex(); empty if @p text is not 64 hexadecimal digits in lower case. */
    static std::optional<KeyDigest> fromHex(std::string_view text);

    std::string toHex() const;
    bool operator==(const KeyDigest &) const = default;
    auto operator<=>(const KeyDigest &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const KeyDigest &digest)
    {
        return H::combine(std::move(state), digest.m_bytes);
    }

private:
    std::array<std::uint8_t, 32> m_bytes {};
};

} // namespace ApricotStep
