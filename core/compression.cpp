#include "core/compression.h"

#include <zlib.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::size_t OutputStep = 64U << 10U;

/** Ends the zlib stream with the scope. */
struct InflateStream
{
    z_stream stream {};

    ~InflateStream()
    {
        inflateEnd(&stream);
    }
};

} // namespace

std::string compress(std::string_view data)
{
    uLongf size = compressBound(data.size());
    std::string result(size, '\0');
    // Fails only without memory or with too small a buffer; compressBound() excludes the latter.
    if (compress2(reinterpret_cast<Bytef *>(result.data()), &size, reinterpret_cast<const Bytef *>(data.data()), data.size(), Z_BEST_SPEED)
        != Z_OK) {
        return {};
    }
    result.resize(size);
    return result;
}

Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    InflateStream inflation;
    z_stream &stream = inflation.stream;
    if (inflateInit(&stream) != Z_OK) {
        return Error { ErrorKind::BadRequest, "compressed data: no memory" };
    }
    // zlib does not write through this pointer, although its type allows it.
    stream.next_in =
        const_cast<Bytef *>(reinterpret_cast<const Bytef *>(compressed.data())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string result;
    int status = Z_OK;
    while (status == Z_OK) {
        const std::size_t used = result.size();
        result.resize(std::min(used + OutputStep, maxBytes + 1));
        stream.next_out = reinterpret_cast<Bytef *>(result.data() + used);
        stream.avail_out = static_cast<uInt>(result.size() - used);
        status = inflate(&stream, Z_NO_FLUSH);
        result.resize(result.size() - stream.avail_out);
        if (result.size() > maxBytes) {
            return Error { ErrorKind::BadRequest, "compressed data: larger than " + std::to_string(maxBytes) + " bytes" };
        }
    }
    if (status != Z_STREAM_END) {
        return Error { ErrorKind::BadRequest, "compressed data: damaged or incomplete" };
    }
    return result;
}

} // namespace ApricotStep
