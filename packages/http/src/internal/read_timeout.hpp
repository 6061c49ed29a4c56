#pragma once

#include <rattanbay/http/operation_timeout.hpp>

namespace rattanbay::http::internal {

/// Timeout of the reads of a stream. The server can still send a response that rejects the request.
class read_timeout : public operation_timeout {
public:
    read_timeout(boost::beast::tcp_stream& stream, base::duration timeout)
        : operation_timeout(stream, timeout, awaited_readiness::read) {}
};

} // namespace rattanbay::http::internal
