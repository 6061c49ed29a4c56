#include "internal/compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace zlib = boost::beast::zlib;

std::string compress(std::string_view data) {
    // The fastest level; documents are compressed on VMs with a fraction of a core.
    constexpr int level = 1;
    constexpr int window_bits = 15;
    constexpr int memory_level = 8;
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    std::string out(stream.upper_bound(data.size()), '\0');
    zlib::z_params step;
    step.next_in = data.data();
    step.avail_in = data.size();
    step.next_out = out.data();
    step.avail_out = out.size();
    boost::system::error_code ec;
    stream.write(step, zlib::Flush::finish, ec);
    out.resize(step.total_out);
    return out;
}

base::result<std::string> decompress(std::string_view data, std::size_t max_bytes) {
    constexpr std::size_t chunk_bytes = 64 * 1024;
    zlib::inflate_stream stream;
    zlib::z_params step;
    step.next_in = data.data();
    step.avail_in = data.size();
    std::string out;
    boost::system::error_code ec;
    while (!ec) {
        const std::size_t used = out.size();
        if (used > max_bytes) {
            return base::fail(base::error_code::protocol_violation,
                              "the data has more than " + std::to_string(max_bytes) + " bytes");
        }
        out.resize(used + chunk_bytes);
        step.next_out = out.data() + used;
        step.avail_out = chunk_bytes;
        stream.write(step, zlib::Flush::sync, ec);
        out.resize(used + chunk_bytes - step.avail_out);
    }
    if (ec != zlib::error::end_of_stream || out.size() > max_bytes) {
        return base::fail(base::error_code::protocol_violation,
                          "the compressed data is malformed: " + ec.message());
    }
    return out;
}

} // namespace rattanbay::daemon::internal
