#include "protocol/ledgercodec.h"

#include "protocol/ledger.capnp.h"

#include <capnp/serialize.h>
#include <kj/io.h>

namespace ApricotStep
{

namespace
{

capnp::Data::Reader bytesOf(const std::string &text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

std::string textOf(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

std::size_t estimatedBytes(const LedgerRecord &record)
{
    return sizeof(LedgerRecord) + record.answer.body.size() + record.answer.contentType.size();
}

void write(Wire::LedgerRecord::Builder builder, const LedgerRecord &record)
{
    builder.setCounter(record.counter);
    builder.setBodyHash(bytesOf(record.bodyHash));
    builder.setIsAnswered(record.isAnswered);
    builder.setStatus(static_cast<std::uint16_t>(record.answer.status));
    builder.setContentType(record.answer.contentType.c_str());
    builder.setBody(bytesOf(record.answer.body));
    builder.setDroppedHash(record.answer.droppedHash.c_str());
    builder.setDroppedBytes(record.answer.droppedBytes);
}

LedgerRecord read(Wire::LedgerRecord::Reader reader)
{
    LedgerRecord record { reader.getCounter(), textOf(reader.getBodyHash()), reader.getIsAnswered(), {} };
    record.answer.status = reader.getStatus();
    record.answer.contentType = reader.getContentType().cStr();
    record.answer.body = textOf(reader.getBody());
    record.answer.droppedHash = reader.getDroppedHash().cStr();
    record.answer.droppedBytes = reader.getDroppedBytes();
    return record;
}

std::string encodeBatch(const SealedLedger &ledger, std::size_t first, std::size_t end)
{
    capnp::MallocMessageBuilder message;
    auto batch = message.initRoot<Wire::LedgerBatch>();
    batch.setNode(ledger.node.value().c_str());
    batch.setIncarnation(ledger.incarnation.value());
    batch.setSealedAtMs(ledger.sealedAt.milliseconds());
    batch.setLifetimeMs(ledger.lifetime.milliseconds());
    batch.setFirst(first);
    batch.setCount(ledger.records.size());
    auto records = batch.initRecords(static_cast<unsigned int>(end - first));
    for (std::size_t i = first; i < end; ++i) {
        write(records[static_cast<unsigned int>(i - first)], ledger.records[i]);
    }
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

} // namespace

std::vector<std::string> encodeLedger(const SealedLedger &ledger, std::size_t batchBytes)
{
    std::vector<std::string> batches;
    std::size_t first = 0;
    do {
        std::size_t end = first;
        std::size_t bytes = 0;
        while (end < ledger.records.size() && (end == first || bytes + estimatedBytes(ledger.records[end]) <= batchBytes)) {
            bytes += estimatedBytes(ledger.records[end]);
            ++end;
        }
        batches.push_back(encodeBatch(ledger, first, end));
        first = end;
    } while (first < ledger.records.size());
    return batches;
}

Result<LedgerBatch> decodeLedgerBatch(std::string_view bytes)
{
    LedgerBatch batch;
    const auto exception = kj::runCatchingExceptions([&] {
        const kj::ArrayPtr<const kj::byte> data(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size());
        kj::ArrayInputStream stream(data); // The stream copies the bytes, which may not be word-aligned.
        capnp::InputStreamMessageReader message(stream);
        const auto reader = message.getRoot<Wire::LedgerBatch>();
        batch.part.node = NodeId(reader.getNode().cStr());
        batch.part.incarnation = Incarnation(reader.getIncarnation());
        batch.part.sealedAt = Time(reader.getSealedAtMs());
        batch.part.lifetime = Duration(reader.getLifetimeMs());
        batch.first = reader.getFirst();
        batch.count = reader.getCount();
        for (const auto record : reader.getRecords()) {
            batch.part.records.push_back(read(record));
        }
    });
    if (exception != nullptr) {
        return Error { ErrorKind::BadRequest, "the message is not a ledger batch" };
    }
    return batch;
}

} // namespace ApricotStep
