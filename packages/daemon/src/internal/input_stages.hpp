#pragma once

#include "piece_pool.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// The stages of one request: has their pieces made in the order in which they need each other, and
/// holds the handles of their results. Runs on the request's executor.
class input_stages : public std::enable_shared_from_this<input_stages> {
public:
    input_stages(piece_pool& pool, asio::any_io_executor executor, const relay::call& request,
                 const config::relay_route& route, base::time_point due, base::time_point deadline);

    /// Makes all pieces; returns why that failed, or nothing. Ends early when `stop` is called.
    asio::awaitable<std::optional<relay::piece_failure>> make();

    /// Ends a `make` in progress.
    void stop();

    /// Results of the stages that no other stage needs.
    std::vector<std::string> inputs() const;

    /// Gives all pieces and results up.
    void release();

private:
    struct stage_state {
        std::size_t pieces = 0;
        std::size_t made = 0;
        bool begun = false;
        std::vector<std::string> handles;
        std::vector<relay::piece_ticket> tickets;
    };

    void begin_ready_stages();
    void begin(std::size_t stage);
    bool is_ready(std::size_t stage) const;
    bool is_whole() const;
    void take(std::size_t stage, std::size_t piece, const relay::piece_result& result);

    piece_pool& pool_;
    asio::any_io_executor executor_;
    const relay::call& request_;
    const config::relay_route& route_;
    base::time_point due_;
    base::time_point deadline_;
    asio::steady_timer progress_;
    std::vector<stage_state> stages_;
    std::optional<relay::piece_failure> failure_;
    bool stopped_ = false;
};

} // namespace rattanbay::daemon::internal
