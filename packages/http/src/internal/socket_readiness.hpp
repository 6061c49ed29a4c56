#pragma once

#include <rattanbay/http/operation_timeout.hpp>

#include <poll.h>

namespace rattanbay::http::internal {

/// Whether an operation on a socket can go on without waiting; an error or a close also ends it.
inline bool is_ready(int socket, awaited_readiness awaited) {
    pollfd query{};
    query.fd = socket;
    query.events = awaited == awaited_readiness::read ? POLLIN : POLLOUT;
    return ::poll(&query, 1, 0) > 0;
}

} // namespace rattanbay::http::internal
