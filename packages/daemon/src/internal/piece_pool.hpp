#pragma once

#include "relay_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

namespace asio = boost::asio;

/// What a request asks of a worker pool.
struct piece_request {
    base::service_name service;
    relay::piece_order order;
    base::time_point due;
    base::time_point deadline;
};

/// Takes a result; runs on the pool's strand.
using piece_handler = std::function<void(relay::piece_result)>;

/// Makes pieces in calls that the requests of this daemon share, and gives results up. It runs on a
/// strand of its own; all public functions may be called by any thread.
class piece_pool : public std::enable_shared_from_this<piece_pool> {
public:
    piece_pool(asio::io_context& context, relay_state& relay);

    /// Queues a piece. `done` is called once, unless the piece is cancelled.
    relay::piece_ticket make(piece_request request, piece_handler done);

    /// Gives a piece up; its handler may still run when it ends at the same time.
    void cancel(relay::piece_ticket ticket);

    /// Tells the holders of results that they are no longer needed.
    void release(std::vector<std::string> handles);

private:
    struct job {
        piece_request request;
        piece_handler done;
        unsigned tries = 0;
    };

    /// Waiting pieces and calls in progress of one service.
    struct line {
        relay::piece_queue queue;
        std::size_t calls = 0;
        bool retry_set = false;
    };

    void queue(relay::piece_ticket ticket);
    void pump(const base::service_name& service);
    void pump_later(const base::service_name& service);
    asio::awaitable<void> call(base::service_name service, relay::chosen_endpoint endpoint,
                               std::vector<relay::waiting_piece> pieces, base::duration limit);
    void take_results(const std::vector<relay::waiting_piece>& pieces,
                      const std::vector<relay::piece_result>& results);
    void try_again(const base::service_name& service, const std::vector<relay::waiting_piece>& pieces,
                   relay::attempt_end end);
    void finish(relay::piece_ticket ticket, const relay::piece_result& result);
    asio::awaitable<void> flush_releases();
    asio::awaitable<void> send_release(base::address holder, std::vector<std::string> handles);

    relay_state& relay_;
    asio::strand<asio::io_context::executor_type> strand_;
    std::atomic<relay::piece_ticket> tickets_{0};
    std::map<relay::piece_ticket, job> jobs_;
    std::map<base::service_name, line> lines_;
    std::map<base::address, std::vector<std::string>> releases_;
};

} // namespace rattanbay::daemon::internal
