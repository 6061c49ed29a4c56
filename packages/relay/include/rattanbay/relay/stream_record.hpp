#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/stream_origin.hpp>

namespace rattanbay::relay {

/// What a daemon knows of a stream that was begun, as told to other daemons. The time is relative because the
/// clocks of daemons differ.
struct stream_record {
    /// Key of the stream in `stream_origins`.
    base::hash128 stream;
    stream_origin origin;
    /// Time until the deadline of the client.
    base::duration time_left{};

    friend bool operator==(const stream_record&, const stream_record&) = default;
};

} // namespace rattanbay::relay
