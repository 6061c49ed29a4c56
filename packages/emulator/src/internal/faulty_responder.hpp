#pragma once

#include <rattanbay/emulator/endpoint_fault.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace rattanbay::emulator::internal {

class endpoint_server;

/// Sends the response of one call and injects its fault. Every operation returns whether the call
/// can continue; it cannot once the connection is closed or the response has ended.
class faulty_responder {
public:
    faulty_responder(endpoint_server& server, http::responder& out, endpoint_fault fault,
                     std::optional<std::string> attempt)
        : server_(server)
        , out_(out)
        , fault_(fault)
        , attempt_(std::move(attempt)) {}

    /// Sends a complete response.
    boost::asio::awaitable<bool> send(http::response message);

    /// Sends the head of an event stream.
    boost::asio::awaitable<bool> begin_stream();

    /// Sends one chunk of the stream.
    boost::asio::awaitable<bool> write(std::string chunk);

    /// Ends the stream.
    boost::asio::awaitable<bool> end_stream();

    /// Closes the connection without completing the response.
    void abort() { out_.abort(); }

private:
    /// Chunks of a stream that are sent intact before the faults `cut` and `wrong_length` apply.
    static constexpr std::size_t chunks_before_fault = 3;

    void add_common_fields(http::fields& fields) const;
    /// Holds a silent connection open, or closes the connection if the endpoint was killed. Returns
    /// whether the response can continue.
    boost::asio::awaitable<bool> can_continue();
    boost::asio::awaitable<bool> break_stream(std::string chunk);

    endpoint_server& server_;
    http::responder& out_;
    endpoint_fault fault_;
    std::optional<std::string> attempt_;
    std::size_t chunks_sent_ = 0;
};

} // namespace rattanbay::emulator::internal
