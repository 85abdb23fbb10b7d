#include "protocol/membershipcodec.h"

#include "core/hash.h"
#include "protocol/bytewriter.h"

namespace ApricotStep
{

namespace
{

constexpr std::uint8_t FormatVersion = 1;
constexpr std::size_t MacBytes = 16;
constexpr Duration SecondsUnit = Duration::seconds(1);

std::string macOf(std::string_view bytes, std::string_view secret)
{
    const std::string hex = hmacHex(secret, bytes);
    std::string mac;
    for (std::size_t i = 0; i < MacBytes; ++i) {
        mac.push_back(static_cast<char>(std::stoi(hex.substr(i * 2, 2), nullptr, 16)));
    }
    return mac;
}

void writeBody(ByteWriter &writer, const Ping &ping)
{
    writer.number(ping.sequence);
}
void writeBody(ByteWriter &writer, const Ack &ack)
{
    writer.number(ack.sequence);
}
void writeBody(ByteWriter &writer, const Nack &nack)
{
    writer.number(nack.sequence);
}
void writeBody(ByteWriter &writer, const PingRequest &request)
{
    writer.number(request.sequence);
    writer.text(request.targetAddress);
}
void writeBody(ByteWriter &, const Gossip &)
{
}
void writeBody(ByteWriter &writer, const SyncRequest &request)
{
    writer.number(request.sequence);
    for (const std::uint32_t digest : request.digests) {
        writer.number(digest);
    }
}
void writeBody(ByteWriter &writer, const SyncReply &reply)
{
    writer.number(reply.sequence);
}

void writeUpdate(ByteWriter &writer, const MemberUpdate &update)
{
    writer.number(static_cast<std::uint8_t>(update.state));
    writer.text(update.id.value());
    writer.number(update.incarnation.value());
    writer.number(update.epoch);
    writer.number(update.refutation);
    if (update.state == MemberState::Suspect) {
        writer.text(update.accuser.value());
    }
    // Only the addresses of live members are needed: those of other members are already known. Leaving them out halves the traffic when
    // many nodes fail at once.
    if (update.state == MemberState::Alive) {
        writer.number(update.number);
        writer.text(update.zone.value());
        writer.text(update.membershipAddress);
        writer.text(update.callerAddress);
        writer.text(update.rpcAddress);
    }
}

void writeRumour(ByteWriter &writer, const AgedRumour &rumour)
{
    writer.number(static_cast<std::uint8_t>(rumour.rumour.index()));
    writer.number(static_cast<std::uint32_t>(rumour.age.milliseconds() / SecondsUnit.milliseconds()));
    if (const auto *leaving = std::get_if<LeavingFact>(&rumour.rumour)) {
        writer.text(leaving->vm);
        writer.number(leaving->incarnation.value());
    } else if (const auto *config = std::get_if<ConfigFact>(&rumour.rumour)) {
        writer.text(config->node.value());
        writer.number(config->version.value());
    } else if (const auto *handOff = std::get_if<HandOffFact>(&rumour.rumour)) {
        writer.text(handOff->node.value());
        writer.number(handOff->incarnation.value());
        writer.text(handOff->successor.value());
    }
}

MemberUpdate readUpdate(ByteReader &reader, bool &isKnown)
{
    MemberUpdate update;
    const auto state = reader.number<std::uint8_t>();
    isKnown = isKnown && state <= static_cast<std::uint8_t>(MemberState::Left);
    update.state = static_cast<MemberState>(state);
    update.id = NodeId(reader.text());
    update.incarnation = Incarnation(reader.number<std::uint64_t>());
    update.epoch = reader.number<std::uint16_t>();
    update.refutation = reader.number<std::uint32_t>();
    if (update.state == MemberState::Suspect) {
        update.accuser = NodeId(reader.text());
    }
    if (update.state == MemberState::Alive) {
        update.number = reader.number<std::uint16_t>();
        update.zone = ZoneId(reader.text());
        update.membershipAddress = reader.text();
        update.callerAddress = reader.text();
        update.rpcAddress = reader.text();
    }
    return update;
}

Rumour readRumourBody(ByteReader &reader, std::uint8_t kind, bool &isKnown)
{
    switch (kind) {
    case 0: {
        LeavingFact fact { reader.text(), {} };
        fact.incarnation = Incarnation(reader.number<std::uint64_t>());
        return fact;
    }
    case 1: {
        ConfigFact fact { NodeId(reader.text()), {} };
        fact.version = ConfigVersion(reader.number<std::uint64_t>());
        return fact;
    }
    case 2: {
        HandOffFact fact { NodeId(reader.text()), {}, {} };
        fact.incarnation = Incarnation(reader.number<std::uint64_t>());
        fact.successor = NodeId(reader.text());
        return fact;
    }
    default:
        isKnown = false;
        return {};
    }
}

AgedRumour readRumour(ByteReader &reader, bool &isKnown)
{
    const auto kind = reader.number<std::uint8_t>();
    const Duration age = Duration::seconds(reader.number<std::uint32_t>());
    return { readRumourBody(reader, kind, isKnown), age };
}

SyncRequest readSyncRequest(ByteReader &reader)
{
    SyncRequest request { reader.number<std::uint32_t>(), {} };
    for (std::uint32_t &digest : request.digests) {
        digest = reader.number<std::uint32_t>();
    }
    return request;
}

MemberBody readBody(ByteReader &reader, std::uint8_t kind, bool &isKnown)
{
    switch (kind) {
    case 0:
        return Ping { reader.number<std::uint32_t>() };
    case 1:
        return Ack { reader.number<std::uint32_t>() };
    case 2:
        return Nack { reader.number<std::uint32_t>() };
    case 3: {
        PingRequest request { reader.number<std::uint32_t>(), {} };
        request.targetAddress = reader.text();
        return request;
    }
    case 4:
        return Gossip {};
    case 5:
        return readSyncRequest(reader);
    case 6:
        return SyncReply { reader.number<std::uint32_t>() };
    default:
        isKnown = false;
        return Gossip {};
    }
}

Error invalidDatagram(std::string detail)
{
    return { ErrorKind::BadRequest, "membership datagram: " + std::move(detail) };
}

} // namespace

std::string encodeMemberDatagram(const MemberDatagram &datagram, std::string_view secret)
{
    ByteWriter writer;
    writer.number(FormatVersion);
    writer.number(static_cast<std::uint8_t>(datagram.body.index()));
    writer.text(datagram.sender.value());
    writer.number(datagram.incarnation.value());
    writer.number(datagram.counter);
    writer.number(datagram.digest);
    std::visit([&](const auto &body) { writeBody(writer, body); }, datagram.body);
    writer.number(static_cast<std::uint8_t>(datagram.updates.size()));
    for (const MemberUpdate &update : datagram.updates) {
        writeUpdate(writer, update);
    }
    writer.number(static_cast<std::uint8_t>(datagram.rumours.size()));
    for (const AgedRumour &rumour : datagram.rumours) {
        writeRumour(writer, rumour);
    }
    writer.bytes() += macOf(writer.bytes(), secret);
    return std::move(writer.bytes());
}

Result<MemberDatagram> decodeMemberDatagram(std::string_view bytes, std::string_view secret)
{
    if (bytes.size() < MacBytes || bytes.size() > MaxMemberDatagramBytes) {
        return invalidDatagram("its size is out of range");
    }
    const std::string_view content = bytes.substr(0, bytes.size() - MacBytes);
    if (!equalConstantTime(macOf(content, secret), bytes.substr(content.size()))) {
        return invalidDatagram("it is not signed with the fleet's secret");
    }
    ByteReader reader(content);
    if (reader.number<std::uint8_t>() != FormatVersion) {
        return invalidDatagram("its format version is unknown");
    }
    const auto kind = reader.number<std::uint8_t>();
    bool isKnown = true;
    MemberDatagram datagram;
    datagram.sender = NodeId(reader.text());
    datagram.incarnation = Incarnation(reader.number<std::uint64_t>());
    datagram.counter = reader.number<std::uint32_t>();
    datagram.digest = reader.number<std::uint32_t>();
    datagram.body = readBody(reader, kind, isKnown);
    for (int left = reader.number<std::uint8_t>(); left > 0 && reader.isGood(); --left) {
        datagram.updates.push_back(readUpdate(reader, isKnown));
    }
    for (int left = reader.number<std::uint8_t>(); left > 0 && reader.isGood(); --left) {
        datagram.rumours.push_back(readRumour(reader, isKnown));
    }
    if (!reader.isGood() || !reader.isAtEnd() || !isKnown) {
        return invalidDatagram("it is truncated or malformed");
    }
    return datagram;
}

} // namespace ApricotStep
