#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace rattanbay::http::internal {

/// Whether the other side has closed the connection and all data before the close was read. Does not block.
inline bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    const std::size_t size =
        socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, ec);
    const bool is_open = ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
    return !is_open && (ec || size == 0);
}

} // namespace rattanbay::http::internal
