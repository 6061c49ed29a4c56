#pragma once

#include <rattanbay/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

/// I/O context with its own thread, and an HTTP client for the emulated services on it.
struct loopback {
    loopback()
        : work(boost::asio::make_work_guard(context))
        , thread([this]() { context.run(); }) {}

    loopback(const loopback&) = delete;
    loopback& operator=(const loopback&) = delete;

    ~loopback() {
        context.stop();
        thread.join();
    }

    /// Starts an HTTP exchange.
    std::future<rattanbay::base::result<rattanbay::http::response>>
    begin(const rattanbay::base::address& address, rattanbay::http::request message) {
        return boost::asio::co_spawn(
            context,
            rattanbay::http::exchange(context.get_executor(), pool, address, std::move(message), limits),
            boost::asio::use_future);
    }

    /// Performs an HTTP exchange on a pooled connection or a new one.
    rattanbay::base::result<rattanbay::http::response> exchange(const rattanbay::base::address& address,
                                                                rattanbay::http::request message) {
        return begin(address, std::move(message)).get();
    }

    /// Returns status and JSON body of an exchange; status 0 if it fails.
    std::pair<int, nlohmann::json> call(const rattanbay::base::address& address, const std::string& method,
                                        const std::string& target, const std::string& body = "",
                                        rattanbay::http::fields fields = {}) {
        const rattanbay::base::result<rattanbay::http::response> answer =
            exchange(address, rattanbay::http::request{method, target, std::move(fields), body});
        if (!answer) {
            return {0, nlohmann::json(answer.error().message)};
        }
        return {answer->status, nlohmann::json::parse(answer->body, nullptr, false)};
    }

    static rattanbay::base::address free_address() {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return rattanbay::base::address{{127, 0, 0, 1}, acceptor.local_endpoint().port()};
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    rattanbay::http::connection_pool pool;
    rattanbay::http::exchange_limits limits;
    std::thread thread;
};
