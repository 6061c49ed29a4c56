#include "internal/clock.hpp"
#include "internal/stream_origin_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace internal = rattanbay::daemon::internal;
namespace peer = rattanbay::peer;
namespace relay = rattanbay::relay;

namespace {

const base::service_name service("chat");
const relay::stream_origin old_origin{service, "1.0"};

base::address peer_address(std::size_t number) {
    constexpr std::uint16_t first_port = 7000;
    const std::uint32_t process = static_cast<std::uint32_t>(::getpid());
    return {{127, 79, static_cast<std::uint8_t>(process >> 8U), static_cast<std::uint8_t>(process)},
            static_cast<std::uint16_t>(first_port + number)};
}

peer::member_record member(std::size_t number) {
    base::random_source random(number + 1);
    peer::member_record out;
    out.id = base::incarnation::generate(random);
    out.peer_address = peer_address(number);
    out.status = peer::member_status::live;
    out.revision = 1;
    return out;
}

base::request_id stream_id(std::size_t n) {
    return base::request_id("stream-" + std::to_string(n));
}

base::time_point deadline() {
    return internal::now() + std::chrono::seconds(30);
}

/// The exchange of one daemon, without the rest of the daemon.
class lone_exchange {
public:
    lone_exchange(std::size_t number, const std::vector<peer::member_record>& members)
        : work_(asio::make_work_guard(context_))
        , strand_(asio::make_strand(context_))
        , shared_(context_, settings(number), member(number).id,
                  rattanbay::daemon::platform_protocols::emulated())
        , transport_(std::make_shared<internal::peer_transport>(shared_, strand_)) {
        shared_.relay = std::make_unique<internal::relay_state>(
            config::relay_settings(), shared_.settings.failure_domain, nullptr, *shared_.resources, 1);
        set_members(members);
        exchange_ = std::make_shared<internal::stream_origin_exchange>(shared_, transport_, strand_);
        const base::result<void> started = transport_->start(
            [this](const base::address&, const peer::datagram& message) {
                exchange_->receive(std::get<peer::stream_notice>(message));
            },
            [this](peer::frame message,
                   std::shared_ptr<internal::requester_link>) -> asio::awaitable<peer::frame> {
                co_return peer::frame(exchange_->answer(std::get<peer::stream_origin_request>(message)));
            });
        BOOST_REQUIRE(started.has_value());
        thread_ = std::thread([this]() { context_.run(); });
    }

    lone_exchange(const lone_exchange&) = delete;
    lone_exchange& operator=(const lone_exchange&) = delete;

    ~lone_exchange() {
        // What is in progress refers to the state and ends before it.
        asio::post(strand_, [this]() { transport_->stop(); });
        work_.reset();
        thread_.join();
    }

    internal::stream_lookup find(const base::request_id& stream) {
        return asio::co_spawn(context_, exchange_->find(stream, service), asio::use_future).get();
    }

    void record(const base::request_id& stream) { exchange_->record(stream, old_origin, deadline()); }

    void set_members(const std::vector<peer::member_record>& members) {
        const std::shared_ptr<internal::member_view> view = std::make_shared<internal::member_view>();
        view->members = members;
        shared_.members.publish(view);
    }

    void refresh() {
        asio::post(strand_, asio::use_future([this]() { exchange_->refresh(); })).get();
    }

    relay::service_versions& versions() { return shared_.relay->versions; }

    bool knows(const base::request_id& stream) const {
        return shared_.relay->origins.find(stream, internal::now()) == old_origin;
    }

private:
    static config::settings settings(std::size_t number) {
        config::settings out;
        out.vm = base::vm_id("entry-" + std::to_string(number));
        out.peer_address = peer_address(number);
        out.cluster_secret = "0123456789abcdef";
        return out;
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    internal::control_strand strand_;
    internal::shared_state shared_;
    std::shared_ptr<internal::peer_transport> transport_;
    std::shared_ptr<internal::stream_origin_exchange> exchange_;
    std::thread thread_;
};

/// Daemons that know each other.
struct exchange_cluster {
    explicit exchange_cluster(std::size_t count) {
        std::vector<peer::member_record> members;
        for (std::size_t n = 0; n < count; ++n) {
            members.push_back(member(n));
        }
        for (std::size_t n = 0; n < count; ++n) {
            daemons.push_back(std::make_unique<lone_exchange>(n, members));
        }
    }

    /// Number of daemons that know the stream, apart from the first one.
    std::size_t holders(const base::request_id& stream) const {
        return static_cast<std::size_t>(std::count_if(
            daemons.begin() + 1, daemons.end(),
            [&stream](const std::unique_ptr<lone_exchange>& row) { return row->knows(stream); }));
    }

    /// Waits until two other daemons know the stream.
    bool is_held(const base::request_id& stream) const {
        const base::time_point end = internal::now() + std::chrono::seconds(5);
        while (holders(stream) < 2 && internal::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return holders(stream) == 2;
    }

    std::vector<std::unique_ptr<lone_exchange>> daemons;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origin_exchange)

// Guards against streams that cannot go on after the daemon that began them is gone.
BOOST_AUTO_TEST_CASE(any_daemon_finds_a_stream_of_one_that_is_gone) {
    constexpr std::size_t streams = 20;
    exchange_cluster cluster(5);
    cluster.daemons[0]->versions().observe(service, {"1.0", "2.0"}, internal::now());
    for (std::size_t n = 0; n < streams; ++n) {
        cluster.daemons[0]->record(stream_id(n));
        BOOST_TEST(cluster.is_held(stream_id(n)));
    }
    cluster.daemons[0].reset();
    for (std::size_t n = 0; n < streams; ++n) {
        const internal::stream_lookup found = cluster.daemons[1 + n % 4]->find(stream_id(n));
        BOOST_CHECK(found.origin == old_origin);
    }
}

// Guards against the loss of streams that began before the second version of their service was listed, also
// of those that do not fit in one datagram.
BOOST_AUTO_TEST_CASE(earlier_streams_are_told_when_a_service_becomes_mixed) {
    constexpr std::size_t streams = 200;
    exchange_cluster cluster(4);
    cluster.daemons[0]->versions().observe(service, {"1.0"}, internal::now());
    for (std::size_t n = 0; n < streams; ++n) {
        cluster.daemons[0]->record(stream_id(n));
    }
    cluster.daemons[0]->refresh();
    // Nothing is sent while one version is active: an unknown stream can be of that version only.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    BOOST_TEST(cluster.holders(stream_id(0)) == 0U);
    cluster.daemons[0]->versions().observe(service, {"1.0", "2.0"}, internal::now());
    cluster.daemons[0]->refresh();
    for (std::size_t n = 0; n < streams; ++n) {
        BOOST_TEST(cluster.is_held(stream_id(n)));
    }
}

// Guards against a daemon that takes the listed version for the only one although others know another, and
// against one that takes silence for an answer.
BOOST_AUTO_TEST_CASE(unknown_streams_bring_the_versions_of_others) {
    exchange_cluster cluster(3);
    cluster.daemons[0]->versions().observe(service, {"2.0"}, internal::now());
    cluster.daemons[1]->versions().restore(service, "1.0", internal::now());
    const internal::stream_lookup unknown = cluster.daemons[0]->find(stream_id(1));
    BOOST_TEST(!unknown.origin.has_value());
    BOOST_TEST(unknown.was_answered);
    BOOST_TEST(cluster.daemons[0]->versions().is_mixed(service, internal::now()));

    cluster.daemons[1].reset();
    cluster.daemons[2].reset();
    BOOST_TEST(!cluster.daemons[0]->find(stream_id(1)).was_answered);
}

// Guards against a daemon that is alone and refuses streams for want of others.
BOOST_AUTO_TEST_CASE(a_lone_daemon_needs_no_answer) {
    exchange_cluster cluster(1);
    BOOST_TEST(cluster.daemons[0]->find(stream_id(1)).was_answered);
}

// Guards against a daemon that is cut off, takes all others off its list of members, and takes itself for the
// only one.
BOOST_AUTO_TEST_CASE(a_daemon_that_has_lost_all_others_needs_an_answer) {
    lone_exchange asking(0, {member(0), member(1)});
    asking.refresh();
    asking.set_members({member(0)});
    asking.refresh();
    BOOST_TEST(!asking.find(stream_id(1)).was_answered);
}

// Guards against clients that wait for a daemon that accepts the question and does not answer.
BOOST_AUTO_TEST_CASE(silent_daemons_are_waited_for_shortly) {
    constexpr std::chrono::milliseconds max_wait{400};
    asio::io_context context;
    const asio::ip::tcp::acceptor silent(
        context, {asio::ip::make_address_v4(peer_address(1).ip), peer_address(1).port});
    lone_exchange asking(0, {member(0), member(1)});
    const base::time_point start = internal::now();
    BOOST_TEST(!asking.find(stream_id(1)).was_answered);
    BOOST_TEST((internal::now() - start < max_wait));
}

BOOST_AUTO_TEST_SUITE_END()
