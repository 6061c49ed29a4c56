#include <rattanbay/ctl/network_io.hpp>
#include <rattanbay/http/connection_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <fstream>
#include <future>
#include <iterator>
#include <random>
#include <thread>

namespace rattanbay::ctl {

namespace {

class network_command_io : public command_io {
public:
    base::result<std::string> read_file(const std::string& path) override {
        std::ifstream in(path, std::ios::binary);
        std::string content{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        if (!in.is_open() || in.bad()) {
            return base::fail(base::error_code::not_found, "cannot read the file " + path);
        }
        return content;
    }

    base::result<http::response> exchange(const base::address& address, const http::request& message,
                                          const http::exchange_limits& limits) override {
        boost::asio::io_context context;
        // With an empty pool the request is sent once on a new connection; on a pooled connection it
        // might be sent again.
        http::connection_pool pool;
        std::future<base::result<http::response>> answer = boost::asio::co_spawn(
            context, http::exchange(context.get_executor(), pool, address, message, limits),
            boost::asio::use_future);
        context.run();
        return answer.get();
    }

    base::time_point now() override {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return base::time_point(std::chrono::duration_cast<base::duration>(since_start));
    }

    void sleep_for(base::duration duration) override { std::this_thread::sleep_for(duration); }

    std::uint64_t random_seed() override {
        std::random_device device;
        constexpr unsigned half_bits = 32;
        return (std::uint64_t{device()} << half_bits) | device();
    }
};

} // namespace

std::unique_ptr<command_io> make_network_io() {
    return std::make_unique<network_command_io>();
}

} // namespace rattanbay::ctl
