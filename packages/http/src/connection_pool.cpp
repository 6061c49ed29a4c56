#include <rattanbay/http/connection_pool.hpp>

#include <algorithm>

namespace rattanbay::http {

namespace {

asio::awaitable<base::result<response>> exchange_on(client_connection& connection, request message,
                                                    exchange_limits limits) {
    const base::result<void> sent = co_await connection.send(std::move(message), limits.write);
    if (!sent) {
        co_return tl::unexpected<base::error>(sent.error());
    }
    base::result<response_header> header = co_await connection.read_header(limits.response_header);
    if (!header) {
        co_return tl::unexpected<base::error>(header.error());
    }
    response_memory own_memory(limits.max_body_bytes, limits.max_body_bytes);
    response_memory::share held(limits.memory != nullptr ? *limits.memory : own_memory);
    base::result<std::string> body = co_await read_body(connection, limits.body_read, held);
    if (!body) {
        co_return tl::unexpected<base::error>(body.error());
    }
    response complete;
    complete.status = header->status;
    complete.fields = std::move(header->fields);
    complete.body = std::move(*body);
    co_return complete;
}

asio::awaitable<base::result<response>> observed_exchange(client_connection& connection, request message,
                                                          exchange_limits limits,
                                                          const connection_observer& on_connection) {
    if (on_connection) {
        on_connection(&connection);
    }
    base::result<response> result = co_await exchange_on(connection, std::move(message), limits);
    if (on_connection) {
        on_connection(nullptr);
    }
    co_return result;
}

} // namespace

std::unique_ptr<client_connection>
connection_pool::acquire(const base::address& address, base::duration max_idle, std::string_view exchange) {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = idle_.find(address);
    if (it == idle_.end()) {
        return nullptr;
    }
    std::deque<idle_connection>& list = it->second;
    while (!list.empty() && now - list.front().idle_since > max_idle_time) {
        list.pop_front();
        --idle_count_;
    }
    std::unique_ptr<client_connection> usable;
    for (std::size_t n = list.size(); n > 0 && !usable && now - list[n - 1].idle_since <= max_idle; --n) {
        if (!exchange.empty() && list[n - 1].connection->has_carried(exchange)) {
            continue;
        }
        idle_connection candidate = std::move(list[n - 1]);
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(n - 1));
        --idle_count_;
        // A request that is sent while the server closes the connection gets no response, so a
        // connection is reused only during the first half of the announced keep-alive timeout.
        const base::duration max_age =
            candidate.connection->keep_alive_timeout().value_or(max_idle_time * 2) / 2;
        if (now - candidate.idle_since <= max_age && candidate.connection->passes_stale_check()) {
            usable = std::move(candidate.connection);
        }
    }
    if (list.empty()) {
        idle_.erase(it);
    }
    return usable;
}

void connection_pool::release(std::unique_ptr<client_connection> connection) {
    if (!connection->reusable()) {
        return;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<idle_connection>& list = idle_[connection->remote_address()];
    list.push_back(idle_connection{std::move(connection), now});
    ++idle_count_;
    if (list.size() > max_idle_per_address) {
        list.pop_front();
        --idle_count_;
    }
    if (now - last_sweep_ >= sweep_interval) {
        sweep(now);
    }
    if (idle_count_ > max_idle_connections) {
        close_oldest();
    }
}

void connection_pool::close_idle(const base::address& address) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = idle_.find(address);
    if (it != idle_.end()) {
        idle_count_ -= it->second.size();
        idle_.erase(it);
    }
}

void connection_pool::close_unlisted(const std::function<bool(const base::address&)>& is_listed) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = idle_.begin(); it != idle_.end();) {
        if (is_listed(it->first)) {
            ++it;
        } else {
            idle_count_ -= it->second.size();
            it = idle_.erase(it);
        }
    }
}

void connection_pool::close_expired() {
    const std::lock_guard<std::mutex> lock(mutex_);
    sweep(std::chrono::steady_clock::now());
}

std::size_t connection_pool::close_oldest(std::size_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t closed = std::min(count, idle_count_);
    for (std::size_t n = 0; n < closed; ++n) {
        close_oldest();
    }
    return closed;
}

std::size_t connection_pool::idle_connections() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return idle_count_;
}

void connection_pool::sweep(std::chrono::steady_clock::time_point now) {
    last_sweep_ = now;
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::deque<idle_connection>& list = it->second;
        while (!list.empty() && now - list.front().idle_since > max_idle_time) {
            list.pop_front();
            --idle_count_;
        }
        it = list.empty() ? idle_.erase(it) : std::next(it);
    }
}

void connection_pool::close_oldest() {
    const auto oldest = std::ranges::min_element(
        idle_, {}, [](const idle_map::value_type& row) { return row.second.front().idle_since; });
    oldest->second.pop_front();
    --idle_count_;
    if (oldest->second.empty()) {
        idle_.erase(oldest);
    }
}

asio::awaitable<base::result<response>> exchange_once(asio::any_io_executor executor, base::address address,
                                                      request message, exchange_limits limits,
                                                      descriptor_source descriptors) {
    base::result<std::unique_ptr<client_connection>> opened =
        co_await client_connection::connect(executor, address, limits.connect, descriptors);
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    co_return co_await exchange_on(**opened, std::move(message), limits);
}

asio::awaitable<base::result<response>> exchange(asio::any_io_executor executor, connection_pool& pool,
                                                 base::address address, request message,
                                                 exchange_limits limits, send_condition may_send,
                                                 connection_observer on_connection) {
    base::result<response> result = base::fail(base::error_code::unavailable, "the request was not sent");
    std::unique_ptr<client_connection> idle = pool.acquire(address);
    if (idle && may_send && !may_send()) {
        pool.release(std::move(idle));
        co_return result;
    }
    if (idle) {
        result = co_await observed_exchange(*idle, message, limits, on_connection);
        if (result) {
            pool.release(std::move(idle));
            co_return result;
        }
        pool.close_idle(address);
        idle = nullptr;
        if (may_send && !may_send()) {
            co_return result;
        }
    }
    base::result<std::unique_ptr<client_connection>> opened =
        co_await client_connection::connect(executor, address, limits.connect, pool.descriptors());
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    if (may_send && !may_send()) {
        // After a failed send on the pooled connection, its error says more about the request.
        co_return result;
    }
    result = co_await observed_exchange(**opened, std::move(message), limits, on_connection);
    if (result) {
        pool.release(std::move(*opened));
    }
    co_return result;
}

} // namespace rattanbay::http
