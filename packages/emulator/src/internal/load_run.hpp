#pragma once

#include "caller_call.hpp"
#include "change_signal.hpp"

#include <rattanbay/emulator/arrival_plan.hpp>
#include <rattanbay/emulator/entry_directory.hpp>
#include <rattanbay/emulator/load_generator.hpp>
#include <rattanbay/emulator/load_recorder.hpp>
#include <rattanbay/http/connection_pool.hpp>

#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace rattanbay::emulator::internal {

/// One run of the load generator. Everything runs on one strand.
class load_run : public std::enable_shared_from_this<load_run> {
public:
    load_run(asio::io_context& context, load_options options, load_generator::finished_handler finished);

    void start();

    void stop() { stopped_ = true; }

private:
    /// A caller with its own entry list and connections.
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
    boost::asio::awaitable<void> run_request(arrival due);
    boost::asio::awaitable<void> refresh_entries(caller& from);
    boost::asio::awaitable<bool> ask_for_entries(caller& from);
    boost::asio::awaitable<call_result> send(caller& from, const arrival& due, send_request action);
    http::request build_request(const caller& from, const arrival& due, const std::string& key) const;
    void record(const arrival& due, const caller_request& request, const finish_request& end,
                const call_result& last);
    void finish_if_done();

    base::time_point deadline(const arrival& due) const;
    std::string caller_part(const arrival& due) const;

    const pipeline_load& pipeline(const arrival& due) const { return options_.pipelines[due.pipeline]; }

    const load_options options_;
    load_generator::finished_handler finished_;
    boost::asio::strand<asio::io_context::executor_type> strand_;
    arrival_plan plan_;
    load_recorder recorder_;
    /// Callers of each account.
    std::vector<std::vector<std::unique_ptr<caller>>> callers_;
    /// Differs between runs with the same seed, so that no idempotency key is used in two runs.
    std::string run_id_;
    base::time_point start_;
    std::size_t in_progress_ = 0;
    bool all_sent_ = false;
    std::atomic<bool> stopped_{false};
};

} // namespace rattanbay::emulator::internal
