#include <rattanbay/http/client_pool.hpp>

namespace rattanbay::http {

namespace {

constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;

asio::awaitable<base::result<response>> exchange_on(client_connection& connection, request message,
                                                    exchange_limits limits) {
    const base::result<void> sent = co_await connection.send(std::move(message), limits.write);
    if (!sent) {
        co_return tl::unexpected<base::error>(sent.error());
    }
    base::result<response_head> head = co_await connection.read_head(limits.head);
    if (!head) {
        co_return tl::unexpected<base::error>(head.error());
    }
    base::result<std::string> body = co_await read_body(connection, limits.body_gap, max_response_bytes);
    if (!body) {
        co_return tl::unexpected<base::error>(body.error());
    }
    response whole;
    whole.status = head->status;
    whole.fields = std::move(head->fields);
    whole.body = std::move(*body);
    co_return whole;
}

} // namespace

std::unique_ptr<client_connection> client_pool::take(const base::address& address, base::duration most_idle) {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = idle_.find(address);
    if (it == idle_.end()) {
        return nullptr;
    }
    std::deque<idle_connection>& list = it->second;
    while (!list.empty() && now - list.front().since > max_idle) {
        list.pop_front();
    }
    std::unique_ptr<client_connection> found;
    while (!found && !list.empty() && now - list.back().since <= most_idle) {
        idle_connection last = std::move(list.back());
        list.pop_back();
        // A request that crosses the server's close gets no answer, so that the last part of the
        // time that the server announced is not used.
        const base::duration usable = last.connection->idle_limit().value_or(max_idle * 2) / 2;
        if (now - last.since <= usable && last.connection->quiet()) {
            found = std::move(last.connection);
        }
    }
    if (list.empty()) {
        idle_.erase(it);
    }
    return found;
}

void client_pool::give_back(std::unique_ptr<client_connection> connection) {
    if (!connection->reusable()) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<idle_connection>& list = idle_[connection->remote()];
    list.push_back(idle_connection{std::move(connection), std::chrono::steady_clock::now()});
    if (list.size() > max_idle_per_address) {
        list.pop_front();
    }
}

void client_pool::discard(const base::address& address) {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.erase(address);
}

asio::awaitable<base::result<response>> exchange_once(asio::any_io_executor executor, base::address address,
                                                      request message, exchange_limits limits) {
    base::result<std::unique_ptr<client_connection>> opened =
        co_await client_connection::connect(executor, address, limits.connect);
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    co_return co_await exchange_on(**opened, std::move(message), limits);
}

asio::awaitable<base::result<response>> exchange(asio::any_io_executor executor, client_pool& pool,
                                                 base::address address, request message,
                                                 exchange_limits limits) {
    std::unique_ptr<client_connection> idle = pool.take(address);
    if (idle) {
        base::result<response> answer = co_await exchange_on(*idle, message, limits);
        if (answer) {
            pool.give_back(std::move(idle));
            co_return answer;
        }
        pool.discard(address);
    }
    base::result<std::unique_ptr<client_connection>> opened =
        co_await client_connection::connect(executor, address, limits.connect);
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    base::result<response> answer = co_await exchange_on(**opened, std::move(message), limits);
    if (answer) {
        pool.give_back(std::move(*opened));
    }
    co_return answer;
}

} // namespace rattanbay::http
