#include "internal/listed_version_reader.hpp"

#include "internal/clock.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>
#include <variant>

namespace rattanbay::daemon::internal {

namespace {

/// Time for the read under way and the next one; the client waits for it.
constexpr std::chrono::milliseconds read_limit{500};
/// Bounds the calls of one read. A page has some hundred endpoints.
constexpr std::size_t max_pages = 32;

} // namespace

listed_version_reader::listed_version_reader(shared_state& shared, control_strand strand,
                                             platform_session& platform)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform) {}

asio::awaitable<bool> listed_version_reader::read() {
    co_return co_await asio::co_spawn(strand_, join_next_round(), asio::use_awaitable);
}

asio::awaitable<bool> listed_version_reader::join_next_round() {
    const std::shared_ptr<listed_version_reader> self = shared_from_this();
    if (!next_) {
        next_ = std::make_shared<round>(strand_);
        next_->end.expires_after(read_limit);
    }
    const std::shared_ptr<round> joined = next_;
    if (!is_running_) {
        is_running_ = true;
        asio::co_spawn(
            strand_, [self]() { return self->run_rounds(); }, asio::detached);
    }
    boost::system::error_code ignored;
    co_await joined->end.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return joined->is_complete;
}

asio::awaitable<void> listed_version_reader::run_rounds() {
    const scope_exit done([this]() { is_running_ = false; });
    while (next_) {
        const std::shared_ptr<round> current = std::exchange(next_, nullptr);
        const base::time_point start = now();
        current->is_complete = co_await read_list();
        telemetry::log(telemetry::log_event::listed_versions_read,
                       {{"result", current->is_complete ? "read" : "failed"},
                        {"took_ms", std::to_string(base::to_milliseconds(now() - start))}});
        current->end.cancel();
    }
}

asio::awaitable<bool> listed_version_reader::read_list() {
    std::string after;
    for (std::size_t n = 0; n < max_pages; ++n) {
        const object_api::list_vms request{after};
        const object_api::answer answer = co_await platform_.call(request);
        const object_api::vm_page* const page = std::get_if<object_api::vm_page>(&answer);
        // A store that came back from a copy may show a list that is older than the one in force.
        if (page == nullptr || page->version < shared_.vms.read()->version) {
            co_return false;
        }
        for (const object_api::vm& listed : page->vms) {
            shared_.relay->versions.restore(listed.service, listed.software_version, now());
        }
        if (!page->next_after) {
            co_return true;
        }
        after = *page->next_after;
    }
    co_return false;
}

} // namespace rattanbay::daemon::internal
