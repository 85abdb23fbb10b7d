#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ApricotStep
{

/**
 * A textual identifier whose type differs from those of other kinds of identifiers.
 * An empty value means "none".
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }
    bool isEmpty() const
    {
        return m_value.empty();
    }
    auto operator<=>(const StrongId &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const StrongId &id)
    {
        return H::combine(std::move(state), id.m_value);
    }

private:
    std::string m_value;
};

/** An integer with its own unit or meaning; can be added to and compared with numbers of the same type only. */
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return m_value;
    }
    constexpr auto operator<=>(const StrongNumber &) const = default;
    constexpr StrongNumber operator+(StrongNumber other) const
    {
        return StrongNumber(m_value + other.m_value);
    }

    template<typename H>
    friend H AbslHashValue(H state, const StrongNumber &number)
    {
        return H::combine(std::move(state), number.m_value);
    }

private:
    std::uint64_t m_value = 0;
};

using NodeId = StrongId<struct NodeIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using CallerId = StrongId<struct CallerIdTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
using AdapterVersion = StrongId<struct AdapterVersionTag>;
/** Version of the software that an upstream runs, not of what it has loaded. */
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using BaseModelId = StrongId<struct BaseModelIdTag>;
using TeamName = StrongId<struct TeamNameTag>;

/** Identifies one request received by one node; unique within the node's incarnation. */
using RequestId = StrongNumber<struct RequestIdTag>;
/** Identifies one start of a node's process; later starts of the same node have greater values. */
using Incarnation = StrongNumber<struct IncarnationTag>;
/** Version of the published configuration; never decreases. */
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/** Orders the successive owners of an upstream: a counter in the high 48 bits, the node's number in the low 16. */
using FencingToken = StrongNumber<struct FencingTokenTag>;

/** One version of one adapter. A request runs on exactly one. */
struct AdapterKey
{
    AdapterId id;
    AdapterVersion version;

    auto operator<=>(const AdapterKey &) const = default;

    /** The adapter's name at engines, `id@version`. */
    std::string name() const
    {
        return id.value() + '@' + version.value();
    }

    template<typename H>
    friend H AbslHashValue(H state, const AdapterKey &key)
    {
        return H::combine(std::move(state), key.id, key.version);
    }
};

} // namespace ApricotStep

template<typename Tag>
struct std::hash<ApricotStep::StrongId<Tag>>
{
    std::size_t operator()(const ApricotStep::StrongId<Tag> &id) const
    {
        return std::hash<std::string> {}(id.value());
    }
};
