#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace ApricotStep
{

// A caller takes a stream up at any node, often because the node that began it is gone. Asking that node comes too late then, so nodes tell
// each other with their heartbeats which streams they have begun and where, while that cannot be inferred (SoftwareHistory).

/** Hash of the id of the request that brought a stream's first event. */
using StreamId = StrongNumber<struct StreamIdTag>;

StreamId streamIdOf(std::string_view requestId);

/** The software that began a stream. Only upstreams of this service and version may continue it. */
struct StreamOrigin
{
    ServiceName service;
    SoftwareVersion software;

    auto operator<=>(const StreamOrigin &) const = default;
};

/** A stream that a node has begun lately. */
struct BegunStream
{
    StreamId stream;
    StreamOrigin origin;
    /** For how long it may still be taken up again. */
    Duration lifetime;

    bool operator==(const BegunStream &) const = default;
};

/** A question to other nodes: where did this stream begin? */
struct StreamQuery
{
    /** 0 if the caller does not name the stream: then only a version that has begun all streams is an answer. */
    StreamId stream;
    /** The service that would continue it. */
    ServiceName service;

    auto operator<=>(const StreamQuery &) const = default;
};

struct StreamAnswer
{
    StreamQuery query;
    /** Unset if the node does not know it. */
    std::optional<StreamOrigin> origin;

    bool operator==(const StreamAnswer &) const = default;
};

struct StreamOriginLimits
{
    /** Streams to remember: some hundred each second, for half a minute. */
    std::size_t maxStreams = 20'000;
    /** Streams in one message; the others follow in the next. */
    std::size_t maxAnnounced = 64;
};

/** Remembers which software began the streams that may still be taken up again. Not thread-safe. */
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginLimits limits);

    /** This node has begun a stream. */
    void onBegun(const BegunStream &begun, Time now);
    /** Another node has begun it. */
    void onAnnounced(const BegunStream &begun, Time now);
    std::optional<StreamOrigin> find(StreamId stream, Time now) const;
    /**
     * The streams of this node to announce now, each only once: a node that a datagram does not reach asks others. @p isNeeded: whether
     * other nodes have to know the streams of a service.
     */
    std::vector<BegunStream> takeAnnouncements(const std::function<bool(const ServiceName &)> &isNeeded, Time now);
    std::size_t size() const
    {
        return m_streams.size();
    }

private:
    struct Entry
    {
        std::uint32_t origin = 0;
        Time expiresAt;
    };
    struct OwnStream
    {
        StreamId stream;
        bool isAnnounced = false;
    };

    void put(const BegunStream &begun, Time now);
    std::uint32_t indexOf(const StreamOrigin &origin);

    StreamOriginLimits m_limits;
    /** Few: each is stored once. */
    std::vector<StreamOrigin> m_origins;
    absl::flat_hash_map<StreamId, Entry> m_streams;
    /** All streams in the order in which they became known. */
    std::deque<StreamId> m_order;
    std::deque<OwnStream> m_own;
};

} // namespace ApricotStep
