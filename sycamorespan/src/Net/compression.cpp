#include "sycamorespan/src/Net/compression.h"

#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <array>

#include <zlib.h>

namespace sycamorespan {

namespace {

constexpr std::size_t chunkBytes = std::size_t{16} << 10;

/** \brief State of zlib that ends with its scope. */
struct inflation
{
    z_stream stream{};

    inflation()
    {
        if (inflateInit(&stream) != Z_OK)
            throw error("cannot start decompression");
    }
    inflation(const inflation &) = delete;
    inflation &operator=(const inflation &) = delete;
    ~inflation() { inflateEnd(&stream); }
};

} // namespace

std::string compress(std::string_view bytes)
{
    auto length = compressBound(bytes.size());
    std::string result(length, '\0');
    if (compress2(reinterpret_cast<Bytef *>(result.data()), &length,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED)
        != Z_OK)
        throw error("cannot compress " + std::to_string(bytes.size()) + " bytes");
    result.resize(length);
    return result;
}

std::string decompress(std::string_view bytes, std::size_t maximumBytes)
{
    inflation state;
    auto &stream = state.stream;
    // zlib does not change its input, but takes a pointer to mutable bytes.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string result;
    std::array<char, chunkBytes> chunk{};
    for (int status = Z_OK; status != Z_STREAM_END;) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        const auto produced = chunk.size() - stream.avail_out;
        if (status != Z_STREAM_END && (status != Z_OK || produced == 0))
            throw decode_error("compressed bytes are incomplete or invalid");
        if (result.size() + produced > maximumBytes)
            throw decode_error("decompressed bytes are longer than "
                               + std::to_string(maximumBytes));
        result.append(chunk.data(), produced);
    }
    return result;
}

} // namespace sycamorespan
