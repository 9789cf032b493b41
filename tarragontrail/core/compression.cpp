#include "tarragontrail/core/compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <fmt/format.h>

namespace tarragontrail::core {
namespace {

namespace zlib = boost::beast::zlib;

/// Processing time counts for more than the last bytes.
constexpr int compression_level = 3;
constexpr int window_bits = 15;
constexpr int memory_level = 8;

zlib::z_params params_of(std::string_view input, std::string& output)
{
    zlib::z_params params{};
    params.next_in = input.data();
    params.avail_in = input.size();
    params.next_out = output.data();
    params.avail_out = output.size();
    return params;
}

} // namespace

std::string compress(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(compression_level, window_bits, memory_level, zlib::Strategy::normal);
    std::string compressed(stream.upper_bound(text.size()), '\0');
    zlib::z_params params = params_of(text, compressed);
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream)
    {
        throw compression_error(fmt::format("text of {} bytes: {}", text.size(), error.message()));
    }
    compressed.resize(params.total_out);
    return compressed;
}

std::string decompress(std::string_view compressed, std::size_t size_bytes)
{
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    // The library tells the end of a stream only with a byte behind it, and room for another one.
    const std::string input = std::string(compressed) + '\0';
    std::string text(size_bytes + 1, '\0');
    zlib::z_params params = params_of(input, text);
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream || params.total_out != size_bytes)
    {
        throw compression_error(fmt::format("{} bytes give {} of {} bytes: {}", compressed.size(),
                                            params.total_out, size_bytes, error.message()));
    }
    text.resize(size_bytes);
    return text;
}

} // namespace tarragontrail::core
