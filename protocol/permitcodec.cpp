#include "protocol/permitcodec.h"

#include "protocol/bytewriter.h"

namespace ApricotStep
{

namespace
{

constexpr std::uint8_t FormatVersion = 1;
constexpr std::uint8_t NoUrgency = 255;

void writeName(ByteWriter &writer, const PermitName &name)
{
    writer.text(name.node.value());
    writer.text(name.upstream.value());
    writer.text(name.adapter.id.value());
    writer.text(name.adapter.version.value());
}

PermitName readName(ByteReader &reader)
{
    PermitName name;
    name.node = NodeId(reader.text());
    name.upstream = UpstreamId(reader.text());
    name.adapter.id = AdapterId(reader.text());
    name.adapter.version = AdapterVersion(reader.text());
    return name;
}

void writeDuration(ByteWriter &writer, Duration duration)
{
    writer.number(static_cast<std::uint64_t>(duration.milliseconds()));
}

Duration readDuration(ByteReader &reader)
{
    return Duration(static_cast<std::int64_t>(reader.number<std::uint64_t>()));
}

void writeUrgency(ByteWriter &writer, const std::optional<Priority> &urgency)
{
    writer.number(urgency.has_value() ? static_cast<std::uint8_t>(*urgency) : NoUrgency);
}

std::optional<Priority> readUrgency(ByteReader &reader, bool &isKnown)
{
    const auto urgency = reader.number<std::uint8_t>();
    isKnown = isKnown && (urgency < PriorityCount || urgency == NoUrgency);
    return urgency < PriorityCount ? std::optional(static_cast<Priority>(urgency)) : std::nullopt;
}

void writeMessage(ByteWriter &writer, const PermitRequest &request)
{
    writeName(writer, request.name);
    writeUrgency(writer, request.urgency);
    writer.number(static_cast<std::uint32_t>(request.waiting));
    writeDuration(writer, request.waited);
}

void writeMessage(ByteWriter &writer, const PermitRelease &release)
{
    writeName(writer, release.name);
    writer.number(static_cast<std::uint8_t>(release.end));
}

void writeMessage(ByteWriter &writer, const PermitGrant &grant)
{
    writeName(writer, grant.name);
    writeDuration(writer, grant.lifetime);
}

void writeMessage(ByteWriter &writer, const PermitWaitEstimate &estimate)
{
    writeName(writer, estimate.name);
    writeUrgency(writer, estimate.urgency);
    writeDuration(writer, estimate.wait);
}

PermitRequest readRequest(ByteReader &reader, bool &isKnown)
{
    PermitRequest request;
    request.name = readName(reader);
    request.urgency = readUrgency(reader, isKnown);
    request.waiting = static_cast<int>(reader.number<std::uint32_t>());
    request.waited = readDuration(reader);
    isKnown = isKnown && request.waiting >= 0 && request.waited >= Duration();
    return request;
}

PermitMessage readMessage(ByteReader &reader, std::uint8_t kind, bool &isKnown)
{
    switch (kind) {
    case 0:
        return readRequest(reader, isKnown);
    case 1: {
        PermitName name = readName(reader);
        const auto end = reader.number<std::uint8_t>();
        isKnown = isKnown && end <= static_cast<std::uint8_t>(PermitEnd::Withdrawn);
        return PermitRelease { std::move(name), static_cast<PermitEnd>(end) };
    }
    case 2: {
        PermitName name = readName(reader);
        return PermitGrant { std::move(name), readDuration(reader) };
    }
    case 3: {
        PermitWaitEstimate estimate;
        estimate.name = readName(reader);
        estimate.urgency = readUrgency(reader, isKnown);
        estimate.wait = readDuration(reader);
        return estimate;
    }
    default:
        isKnown = false;
        return PermitRelease {};
    }
}

} // namespace

std::string encodePermitMessage(const PermitMessage &message)
{
    ByteWriter writer;
    writer.number(FormatVersion);
    writer.number(static_cast<std::uint8_t>(message.index()));
    std::visit([&](const auto &body) { writeMessage(writer, body); }, message);
    return std::move(writer.bytes());
}

Result<PermitMessage> decodePermitMessage(std::string_view bytes)
{
    ByteReader reader(bytes);
    const auto version = reader.number<std::uint8_t>();
    const auto kind = reader.number<std::uint8_t>();
    bool isKnown = version == FormatVersion;
    PermitMessage message = readMessage(reader, kind, isKnown);
    if (!isKnown || !reader.isGood() || !reader.isAtEnd()) {
        return Error { ErrorKind::BadRequest, "the message is not a permit message" };
    }
    return message;
}

} // namespace ApricotStep
