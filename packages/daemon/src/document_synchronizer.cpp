#include "internal/document_synchronizer.hpp"

#include "internal/clock.hpp"
#include "internal/compression.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/scope_exit.hpp"
#include "internal/watch_failures.hpp"

#include <rattanbay/peer/codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Periodic reads find changes that a watch missed. Daemons tell each other about new documents, so they
/// share this work: the daemons together read once per `cluster_read_interval` on average, and each daemon
/// reads at least once per `max_read_interval`.
constexpr std::chrono::milliseconds cluster_read_interval{250};
constexpr std::chrono::milliseconds min_read_interval{1000};
constexpr std::chrono::seconds max_read_interval{20};
/// Time for the platform's watch to bring a document that another daemon has announced.
constexpr std::chrono::milliseconds watch_head_start{300};
/// Timeout of a request for a document to one of several daemons that have it, the pause after a failure and
/// the number of requests for one document.
constexpr std::chrono::milliseconds fetch_timeout{700};
constexpr std::chrono::milliseconds fetch_pause{50};
constexpr unsigned max_fetches = 20;
/// Number of daemons remembered that have announced a newer document.
constexpr std::size_t max_holders = 4;
/// Text of a document that is read before other work of the thread runs. It grows by this amount for each
/// `load_ramp` that a document takes, so that a busy thread delays it by a bounded time.
constexpr std::size_t step_bytes = 4 * 1024;
constexpr std::chrono::milliseconds load_ramp{25};
/// Data that is compressed before other work of the thread runs.
constexpr std::size_t compression_step_bytes = 32 * 1024;
constexpr std::size_t max_logged_findings = 8;
/// Time over which the daemons spread their reads after the store came back from a copy. A change has to be
/// in force 2 s after the store acknowledged it.
constexpr std::chrono::milliseconds reread_spread{300};

} // namespace

document_synchronizer::document_synchronizer(shared_state& shared, control_strand strand,
                                             platform_session& platform, const store_role& role,
                                             handlers callbacks)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , role_(role)
    , handlers_(std::move(callbacks))
    , random_(shared.next_seed())
    , loaded_(strand, asio::steady_timer::time_point::max()) {}

void document_synchronizer::start() {
    const std::shared_ptr<document_synchronizer> self = shared_from_this();
    platform_.on_new_era([this]() { watch_anew(); });
    start_watch();
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "read_document",
                               [self]() { return self->read_periodically(); });
        },
        asio::detached);
}

void document_synchronizer::begin_reading() {
    replace_watch();
}

void document_synchronizer::start_watch() {
    watched_version_ = {};
    replace_watch();
}

void document_synchronizer::replace_watch() {
    const std::shared_ptr<document_synchronizer> self = shared_from_this();
    const std::uint64_t generation = ++watch_generation_;
    asio::co_spawn(
        strand_,
        [self, generation]() {
            return run_guarded(self->strand_, "watch_document",
                               [self, generation]() { return self->watch(generation); });
        },
        asio::detached);
}

void document_synchronizer::watch_anew() {
    const std::shared_ptr<document_synchronizer> self = shared_from_this();
    // Ends the running watch also if its own answer showed the new era. A watch that is started for another
    // reason in the meantime must not continue from a revision of the former era.
    const std::uint64_t generation = ++watch_generation_;
    watched_version_ = {};
    asio::co_spawn(
        strand_,
        [self, generation]() -> asio::awaitable<void> {
            co_await self->platform_.sleep_below(reread_spread);
            // If the store came back again meanwhile, its later return starts the watch.
            if (generation == self->watch_generation_) {
                self->start_watch();
            }
        },
        asio::detached);
}

asio::awaitable<void> document_synchronizer::watch(std::uint64_t generation) {
    watch_failures failures;
    while (generation == watch_generation_) {
        const object_api::object_key key = config::document_object::key(shared_.settings.environment);
        // The first read shows what the daemon serves from, so it is never from an old state.
        const bool may_be_stale = !role_.is_reader() && !watched_version_.is_unset();
        const object_api::watch_object request{key, watched_version_, failures.wait(), may_be_stale};
        object_api::answer answer = co_await call_through_pages(request);
        if (generation != watch_generation_) {
            co_return;
        }
        if (object_api::object* object = std::get_if<object_api::object>(&answer)) {
            watched_version_ = std::max(watched_version_, object->next_watch);
            co_await offer(std::move(object->value), "watch", platform_.era());
        } else if (const object_api::unchanged* unchanged = std::get_if<object_api::unchanged>(&answer)) {
            watched_version_ = std::max(watched_version_, unchanged->version);
        } else if (std::holds_alternative<object_api::history_lost>(answer)) {
            telemetry::log(telemetry::log_event::history_lost, {{"version", watched_version_.text()}});
            watched_version_ = object_api::store_revision();
        }
        const bool usable = !std::holds_alternative<object_api::failed>(answer) &&
                            !std::holds_alternative<object_api::not_found>(answer);
        failures.record(usable);
        if (failures.last_failed()) {
            co_await platform_.back_off("watch_document", failures.count(), answer);
        }
    }
}

asio::awaitable<object_api::answer>
document_synchronizer::call_through_pages(object_api::watch_object request) {
    while (true) {
        object_api::answer answer = co_await platform_.call(request);
        const object_api::on_later_page* const found = std::get_if<object_api::on_later_page>(&answer);
        if (found == nullptr) {
            co_return answer;
        }
        request.page_after = found->next_after;
    }
}

base::duration document_synchronizer::read_interval() const {
    const std::size_t members = shared_.members.read()->members.size();
    const base::duration shared_interval = cluster_read_interval * static_cast<std::int64_t>(members);
    return std::clamp<base::duration>(shared_interval, min_read_interval, max_read_interval);
}

asio::awaitable<void> document_synchronizer::read_periodically() {
    while (true) {
        co_await platform_.sleep_about(read_interval());
        // A watch from version 0 returns immediately, also if the store's watches report no changes.
        const bool is_reader = role_.is_reader();
        const object_api::watch_object request{
            config::document_object::key(shared_.settings.environment), {}, {}, !is_reader};
        object_api::answer answer = co_await call_through_pages(request);
        if (object_api::object* object = std::get_if<object_api::object>(&answer)) {
            const object_api::store_revision store_version = object->store_version;
            co_await offer(std::move(object->value), "read", platform_.era());
            // What a follower's watch misses, the readers of its failure domain tell.
            if (is_reader) {
                co_await handlers_.on_store_version(store_version);
            }
        }
    }
}

asio::awaitable<bool> document_synchronizer::read() {
    const object_api::read_object request{config::document_object::key(shared_.settings.environment)};
    object_api::answer answer = co_await platform_.call(request);
    object_api::object* const object = std::get_if<object_api::object>(&answer);
    if (object == nullptr) {
        co_return false;
    }
    co_await offer(std::move(object->value), "read", platform_.era());
    co_return true;
}

void document_synchronizer::catch_up(std::uint64_t revision, const base::address& peer_address) {
    if (revision <= adoption_.revision()) {
        return;
    }
    wanted_revision_ = std::max(wanted_revision_, revision);
    holders_.push_back(peer_address);
    if (holders_.size() > max_holders) {
        holders_.pop_front();
    }
    if (fetch_in_progress_) {
        return;
    }
    fetch_in_progress_ = true;
    const std::shared_ptr<document_synchronizer> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self]() -> asio::awaitable<void> {
            const scope_exit done([self]() { self->fetch_in_progress_ = false; });
            co_await self->fetch_wanted();
        },
        asio::detached);
}

asio::awaitable<void> document_synchronizer::fetch_wanted() {
    if (!platform_.is_failing() && role_.is_reader()) {
        co_await platform_.sleep_for(watch_head_start);
    }
    for (unsigned tries = 0; tries < max_fetches && adoption_.revision() < wanted_revision_; ++tries) {
        const std::optional<base::address> holder = choose_holder();
        if (!holder) {
            break;
        }
        // A document that is being read may be the one that is wanted.
        if (!loading_) {
            co_await handlers_.fetch_state(*holder, fetch_timeout);
        }
        if (adoption_.revision() < wanted_revision_) {
            co_await platform_.sleep_for(fetch_pause);
        }
    }
    if (adoption_.revision() < wanted_revision_) {
        telemetry::log(telemetry::log_event::document_fetch_failed,
                       {{"revision", std::to_string(adoption_.revision())},
                        {"wanted_revision", std::to_string(wanted_revision_)}});
    }
}

std::optional<base::address> document_synchronizer::choose_holder() {
    if (!holders_.empty()) {
        const base::address out = holders_.front();
        holders_.pop_front();
        return out;
    }
    std::vector<base::address> holders;
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        if (member.status == peer::member_status::live && member.revision >= wanted_revision_) {
            holders.push_back(member.peer_address);
        }
    }
    if (holders.empty()) {
        return std::nullopt;
    }
    return holders[random_.below(holders.size())];
}

asio::awaitable<void> document_synchronizer::offer(std::string value, std::string_view source,
                                                   std::uint64_t era) {
    const std::shared_ptr<document_synchronizer> self = shared_from_this();
    offered_.push_back(offered_document{std::move(value), source, now(), era});
    while (loading_) {
        boost::system::error_code ec;
        co_await loaded_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!offered_.empty()) {
        co_await load_offered();
    }
}

asio::awaitable<void> document_synchronizer::load_offered() {
    loading_ = true;
    // An exception must not keep the documents that come later from being read.
    const scope_exit done([this]() {
        loading_ = false;
        loaded_.cancel();
    });
    while (!offered_.empty()) {
        offered_document next = std::move(offered_.front());
        offered_.pop_front();
        const base::hash128 hash = base::fast_hash(next.value);
        const std::uint64_t era = next.era;
        if (hash == decided_hash_ && era <= decided_era_) {
            shared_.metrics.record_document("ignored");
            continue;
        }
        co_await load(std::move(next));
        decided_hash_ = hash;
        decided_era_ = era;
    }
    publish_revisions();
}

asio::awaitable<void> document_synchronizer::load(offered_document offered) {
    if (shared_.protocols.documents) {
        co_await load_translated(std::move(offered));
        co_return;
    }
    const std::size_t bytes = offered.value.size();
    decide(adoption_.offer_serialized(offered.value), offered, bytes);
}

asio::awaitable<void> document_synchronizer::load_translated(offered_document offered) {
    const std::size_t bytes = offered.value.size();
    config::relay_document_builder builder(*shared_.protocols.documents, std::move(offered.value),
                                           adoption_.current());
    const base::result<void> begun = builder.begin();
    if (!begun) {
        decide(config::document_rejected{0, begun.error().message, {}, false}, offered, bytes);
        co_return;
    }
    offered_revision_ = std::max(offered_revision_, builder.revision());
    if (builder.revision() < adoption_.revision()) {
        decide(config::document_ignored{}, offered, bytes);
        co_return;
    }
    const base::time_point start = now();
    std::size_t steps = 0;
    std::size_t max_bytes = step_bytes;
    while (!builder.advance(max_bytes)) {
        ++steps;
        co_await yield();
        max_bytes = step_bytes * (1 + static_cast<std::size_t>((now() - start) / load_ramp));
    }
    std::shared_ptr<const config::environment_document> document = builder.finish();
    co_await yield();
    const std::uint64_t revision = document->revision;
    decide(adoption_.offer(std::move(document), offered.era), offered, bytes);
    telemetry::log(telemetry::log_event::document_read,
                   {{"revision", std::to_string(revision)},
                    {"source", std::string(offered.source)},
                    {"parts", std::to_string(builder.parts())},
                    {"reused_parts", std::to_string(builder.reused_parts())},
                    {"unusable_parts", std::to_string(builder.findings().size())},
                    {"steps", std::to_string(steps + 1)},
                    {"waited_ms", std::to_string(base::to_milliseconds(start - offered.arrival))},
                    {"took_ms", std::to_string(base::to_milliseconds(now() - start))}});
    log_findings(revision, builder.findings());
    shared_.metrics.set_unusable_document_parts(builder.findings().size());
}

void document_synchronizer::log_findings(std::uint64_t revision,
                                         const std::vector<config::finding>& findings) {
    for (std::size_t n = 0; n < std::min(findings.size(), max_logged_findings); ++n) {
        telemetry::log(telemetry::log_event::document_part_unusable, {{"revision", std::to_string(revision)},
                                                                      {"pointer", findings[n].pointer},
                                                                      {"detail", findings[n].message}});
    }
}

void document_synchronizer::decide(const config::adoption_result& result, const offered_document& offered,
                                   std::size_t bytes) {
    if (const config::document_adopted* adopted = std::get_if<config::document_adopted>(&result)) {
        adopt(adopted->document);
        shared_.metrics.record_document("adopted");
        telemetry::log(telemetry::log_event::document_adopted,
                       {{"revision", std::to_string(adopted->document->revision)},
                        {"sha256", adopted->document->sha256},
                        {"source", std::string(offered.source)},
                        {"bytes", std::to_string(bytes)},
                        {"took_ms", std::to_string(base::to_milliseconds(now() - offered.arrival))}});
    } else if (const config::document_rejected* rejected = std::get_if<config::document_rejected>(&result)) {
        reject(*rejected, offered.source);
    } else {
        shared_.metrics.record_document("ignored");
    }
}

void document_synchronizer::reject(const config::document_rejected& rejected, std::string_view source) {
    offered_revision_ = std::max(offered_revision_, rejected.revision);
    shared_.metrics.record_document("rejected");
    if (rejected.repeated) {
        return;
    }
    const std::string finding = rejected.findings.empty() ? ""
                                                          : rejected.findings.front().pointer + ": " +
                                                                rejected.findings.front().message;
    telemetry::log(telemetry::log_event::document_rejected,
                   {{"revision", std::to_string(rejected.revision)},
                    {"revision_in_force", std::to_string(adoption_.revision())},
                    {"source", std::string(source)},
                    {"reason", rejected.reason},
                    {"finding", finding}});
}

void document_synchronizer::publish_revisions() {
    const std::uint64_t highest = std::max({adoption_.revision(), wanted_revision_, offered_revision_});
    shared_.metrics.set_document_revisions(adoption_.revision(), highest);
    shared_.highest_revision.store(highest);
}

void document_synchronizer::adopt(const std::shared_ptr<const config::environment_document>& document) {
    const std::shared_ptr<const serving_state> previous = shared_.serving.read();
    const std::shared_ptr<serving_state> next = std::make_shared<serving_state>();
    next->document = document;
    for (const std::pair<const base::service_name, config::service>& row : document->services) {
        const auto it = previous->retry_budgets.find(row.first);
        next->retry_budgets[row.first] =
            it == previous->retry_budgets.end() ? std::make_shared<limits::retry_budget>() : it->second;
        next->retry_budgets[row.first]->set_cost_weight(document->cost_weight);
    }
    shared_.serving.publish(next);
    if (document->relay) {
        shared_.relay->adopt(document);
    }
    handlers_.on_adopted(document->revision);
    shared_.record({}, telemetry::timeline_event::document_adopted,
                   {{"revision", std::to_string(document->revision)}});
}

asio::awaitable<void> document_synchronizer::offer_compressed(std::string bytes) {
    base::result<std::string> value = decompress(bytes, peer::max_frame_bytes);
    if (value) {
        co_await offer(std::move(*value), "peer");
    } else {
        telemetry::log(telemetry::log_event::document_rejected, {{"reason", value.error().message}});
    }
}

std::string document_synchronizer::serialized() const {
    const config::environment_document& document = *adoption_.current();
    return shared_.protocols.documents ? document.text : config::document_object::of(document).serialize();
}

asio::awaitable<std::string> document_synchronizer::compressed() {
    const std::shared_ptr<const config::environment_document> document = adoption_.current();
    if (compressed_document_ != document) {
        const std::string value = serialized();
        compressor work(value.size());
        for (std::size_t start = 0; start < value.size(); start += compression_step_bytes) {
            work.append(std::string_view(value).substr(start, compression_step_bytes));
            co_await yield();
        }
        compressed_ = std::move(work).finish();
        compressed_document_ = document;
    }
    co_return compressed_;
}

asio::awaitable<void> document_synchronizer::yield() {
    co_await asio::post(strand_, asio::use_awaitable);
}

} // namespace rattanbay::daemon::internal
