#pragma once

#include "change_signal.hpp"
#include "entry_call.hpp"

#include <rattanbay/emulator/arrival_process.hpp>
#include <rattanbay/emulator/entry_directory.hpp>
#include <rattanbay/emulator/load_generator.hpp>
#include <rattanbay/emulator/load_recorder.hpp>
#include <rattanbay/http/connection_pool.hpp>

#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace rattanbay::emulator::internal {

/// One run of the load generator. All its coroutines run on one strand.
class load_run : public std::enable_shared_from_this<load_run> {
public:
    load_run(asio::io_context& context, load_options options, load_generator::completion_handler on_finished);

    void start();

    void stop() { stopped_ = true; }

private:
    /// Caller with its own entry list and connections.
    struct caller {
        explicit caller(const load_options& options, std::string account_token)
            : token(std::move(account_token))
            , entries(options.seeds) {}

        std::string token;
        entry_directory entries;
        http::connection_pool pool;
        change_signal refreshed;
        bool refreshing = false;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> run_request(request_arrival arrival);
    boost::asio::awaitable<void> refresh_entries(caller& sender);
    boost::asio::awaitable<bool> try_fetch_entries(caller& sender);
    boost::asio::awaitable<call_result> send(caller& sender, const request_arrival& arrival,
                                             send_request action);
    http::request build_request(const caller& sender, const request_arrival& arrival,
                                const std::string& key) const;
    void record(const request_arrival& arrival, const caller_request& request, const finish_request& end,
                const call_result& last);
    void finish_if_done();

    base::time_point deadline(const request_arrival& arrival) const;
    std::string request_id(const request_arrival& arrival) const;

    const pipeline_load& pipeline(const request_arrival& arrival) const {
        return options_.pipelines[arrival.pipeline];
    }

    const load_options options_;
    load_generator::completion_handler on_finished_;
    boost::asio::strand<asio::io_context::executor_type> strand_;
    arrival_process arrivals_;
    load_recorder recorder_;
    /// Callers of each account.
    std::vector<std::vector<std::unique_ptr<caller>>> callers_;
    /// Unique per run, even with the same seed, so that runs never share idempotency keys.
    std::string run_id_;
    base::time_point start_;
    std::size_t in_progress_ = 0;
    bool all_arrivals_started_ = false;
    std::atomic<bool> stopped_{false};
};

} // namespace rattanbay::emulator::internal
