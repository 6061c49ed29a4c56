#pragma once

#include "relay_state.hpp"

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/response_memory.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rattanbay::daemon::internal {

namespace asio = boost::asio;

/// Complete events of a stream that were not forwarded yet.
struct event_batch {
    std::string bytes;
    /// Identifier of the last event that has one.
    std::optional<std::string> last_id;
};

/// Attempt of a relayed request at one endpoint: its connection and what was read of its response. Runs on
/// the request's executor.
class relay_attempt : public std::enable_shared_from_this<relay_attempt> {
public:
    /// `position` counts the attempts of the request from 1.
    relay_attempt(relay_state& relay, const base::request_id& request, relay::chosen_endpoint chosen,
                  std::size_t position, base::time_point start_time);

    /// Ends the attempt, on the request's executor, if the endpoint is found to have ended.
    void watch_endpoint(const asio::any_io_executor& executor);

    /// Takes a connection that was idle for at most `max_idle`, unless that is 0, or opens one. Returns
    /// whether it has one. No connection that is known to have carried this request is taken.
    asio::awaitable<bool> connect(asio::any_io_executor executor, base::duration max_idle,
                                  base::duration limit);

    /// Starts sending the request.
    void send(http::request message, base::duration time_left);

    /// Reads the header of the response and skips a few second answers to earlier requests on the connection
    /// before it. Returns the result if the response cannot be forwarded, or nothing.
    asio::awaitable<std::optional<relay::attempt_result>> read_header(base::duration time_left);

    /// Whether the response is an event stream.
    bool is_stream() const;

    /// Reads more of a stream and adds its complete events to `events`.
    asio::awaitable<base::result<void>> read_events(base::duration time_left);

    /// Reads the whole body of a response that is not a stream into `body`, unless it was read already.
    asio::awaitable<base::result<void>> read_body(base::duration time_left);

    /// Whether the stream ended inside an event.
    bool has_partial_event() const { return splitter_.has_partial_event(); }

    /// Whether the answer has got past its start at this time, so that a crash is not due to the request.
    bool is_past_start(base::time_point time) const {
        return first_byte && time - start - *first_byte >= relay::part_quarantine::answer_start;
    }

    /// Whether an earlier exchange on the kept connection was of the same request, so that the identifier in
    /// a response does not tell which of the two it answers.
    bool repeats_exchange() const { return repeats_exchange_; }

    /// Takes over the memory of the body, which was moved out of the attempt.
    http::response_memory::share take_memory() { return std::move(held_); }

    /// Closes the connection; an operation in progress fails.
    void close();

    /// Keeps the connection for other requests if that is possible, and closes it otherwise, also if another
    /// endpoint than the one that was meant answered on it.
    void release();

    /// Endpoint and position among the attempts of the request.
    const relay::chosen_endpoint endpoint;
    const std::size_t number;
    const base::time_point start;
    relay::endpoint_response_header header;
    event_batch events;
    /// Whether the stream was read to its end.
    bool stream_ended = false;
    /// Body of a response that is not a stream, once all of it was read.
    std::optional<std::string> body;
    /// Arrival of the events of a stream.
    relay::stream_pace pace;
    /// Calls of this daemon in progress at the endpoint at the end of the longest pause of the stream.
    std::uint32_t calls_at_longest_pause = 0;
    /// Time to the response or the first event.
    std::optional<base::duration> first_byte;
    /// Reason of a failure, for the log.
    std::string detail;
    /// Set if the response was given up because of its size.
    std::optional<base::error> oversized;
    bool reused = false;
    /// Whether no connection could be opened for want of descriptors, which says nothing about the endpoint.
    bool no_descriptor = false;
    /// Whether the request was handed to the connection, so that the endpoint may run it.
    bool sent = false;
    /// Whether the response of another attempt is forwarded instead.
    bool replaced = false;
    /// Whether the request was ended or goes on at another attempt before this one responded.
    bool cancelled = false;

private:
    /// Closes the connection, unless it has unread data: the endpoint may have answered before it ended.
    void handle_endpoint_end(endpoint_end end);

    /// Reads a header. Returns the result if there is none, or nothing.
    asio::awaitable<std::optional<relay::attempt_result>> receive_header(base::duration time_left);

    /// Whether the header belongs to an earlier request on this connection, and not to this one.
    bool is_second_answer() const;

    /// Reads the rest of an answer to an earlier request, and the header of the next answer.
    asio::awaitable<std::optional<relay::attempt_result>> skip_second_answer(base::duration time_left);

    /// Closes the connection, as the response is too large.
    tl::unexpected<base::error> give_up(const base::error& reason);

    relay_state& relay_;
    const base::request_id request_;
    std::unique_ptr<http::client_connection> connection_;
    std::optional<open_calls::registration> registration_;
    /// Set if the connection was closed because the endpoint has ended.
    std::optional<endpoint_end> end_;
    bool repeats_exchange_ = false;
    relay::event_splitter splitter_;
    /// Memory of what was read and not forwarded, and of the events that are being forwarded.
    http::response_memory::share held_;
};

} // namespace rattanbay::daemon::internal
