#include "internal/compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace zlib = boost::beast::zlib;

struct compressor::state {
    zlib::deflate_stream stream;
    std::string out;
    std::size_t used = 0;

    void write(std::string_view data, zlib::Flush flush) {
        zlib::z_params step;
        step.next_in = data.data();
        step.avail_in = data.size();
        step.next_out = out.data() + used;
        step.avail_out = out.size() - used;
        boost::system::error_code ec;
        stream.write(step, flush, ec);
        used = out.size() - step.avail_out;
    }
};

compressor::compressor(std::size_t total_bytes)
    : state_(std::make_unique<state>()) {
    // The fastest level; documents are compressed on VMs with a fraction of a core.
    constexpr int level = 1;
    constexpr int window_bits = 15;
    constexpr int memory_level = 8;
    state_->stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    state_->out.resize(state_->stream.upper_bound(total_bytes));
}

compressor::~compressor() = default;

void compressor::append(std::string_view data) {
    state_->write(data, zlib::Flush::none);
}

std::string compressor::finish() && {
    state_->write({}, zlib::Flush::finish);
    state_->out.resize(state_->used);
    return std::move(state_->out);
}

std::string compress(std::string_view data) {
    compressor work(data.size());
    work.append(data);
    return std::move(work).finish();
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
