#pragma once

#include "platform_session.hpp"
#include "shared_state.hpp"
#include "store_role.hpp"

#include <rattanbay/config/adoption.hpp>
#include <rattanbay/config/relay_document_builder.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattanbay::daemon::internal {

/// Keeps the environment document up to date with the platform and other daemons and publishes it. Runs on
/// the control strand.
///
/// Documents in the platform's own form are read in steps, between which other work of the thread runs; see
/// `config::relay_document_builder`.
class document_synchronizer : public std::enable_shared_from_this<document_synchronizer> {
public:
    using revision_handler = std::function<void(std::uint64_t)>;
    /// Called with the version of the whole store at the time of a read.
    using store_version_handler = std::function<asio::awaitable<void>(object_api::store_revision)>;
    /// Requests the state of another daemon and offers the document in it.
    using state_fetcher = std::function<asio::awaitable<bool>(base::address, base::duration)>;

    struct handlers {
        revision_handler on_adopted;
        store_version_handler on_store_version;
        state_fetcher fetch_state;
    };

    document_synchronizer(shared_state& shared, control_strand strand, platform_session& platform,
                          const store_role& role, handlers callbacks);

    void start();

    /// Starts a new watch, as the daemon reads the store without delay from now on.
    void begin_reading();

    std::uint64_t revision() const { return adoption_.revision(); }

    /// Highest revision that another daemon has announced.
    std::uint64_t wanted_revision() const { return wanted_revision_; }

    bool has_document() const { return adoption_.current() != nullptr; }

    /// Fetches a document of at least this revision, which the daemon at `peer_address` has, unless the
    /// platform brings it first. If that daemon gives no answer, others that have it are tried.
    void catch_up(std::uint64_t revision, const base::address& peer_address);

    /// Reads the document from the platform; returns whether it answered.
    asio::awaitable<bool> read();

    /// Reads a document and adopts it if it is newer. Returns when this and all earlier offers are decided.
    /// `source` names where it was found, for the log. `era` is the era of the store that gave it; 0 if a
    /// peer did.
    asio::awaitable<void> offer(std::string value, std::string_view source, std::uint64_t era = 0);

    asio::awaitable<void> offer_compressed(std::string bytes);

    /// The document in force for other daemons, in the form of the platform.
    std::string serialized() const;

    /// The same, compressed; made once for each revision.
    asio::awaitable<std::string> compressed();

    /// Publishes the revision in force and the highest one seen as metrics and for operators.
    void publish_revisions();

private:
    struct offered_document {
        std::string value;
        std::string_view source;
        base::time_point arrival;
        std::uint64_t era = 0;
    };

    /// Reads the document and watches it from then on.
    void start_watch();
    /// Watches from the revision that was seen last, in place of the running watch.
    void replace_watch();
    asio::awaitable<void> watch(std::uint64_t generation);
    /// Reads the document and watches it anew after the store came back from a copy, whose revisions are
    /// unrelated to those of the running watch.
    void watch_anew();
    /// Makes a call for the document and, if it is answered from a list, reads on to the page that shows it.
    asio::awaitable<object_api::answer> call_through_pages(object_api::watch_object request);
    base::duration read_interval() const;
    asio::awaitable<void> read_periodically();
    asio::awaitable<void> fetch_wanted();
    std::optional<base::address> choose_holder();
    asio::awaitable<void> load_offered();
    asio::awaitable<void> load(offered_document offered);
    asio::awaitable<void> load_translated(offered_document offered);
    void decide(const config::adoption_result& result, const offered_document& offered, std::size_t bytes);
    void adopt(const std::shared_ptr<const config::environment_document>& document);
    void reject(const config::document_rejected& rejected, std::string_view source);
    static void log_findings(std::uint64_t revision, const std::vector<config::finding>& findings);
    /// Lets other work of the thread run.
    asio::awaitable<void> yield();

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    const store_role& role_;
    handlers handlers_;
    config::document_adoption adoption_;
    base::random_source random_;
    /// Version of the store up to which the watch has seen all changes.
    object_api::store_revision watched_version_;
    /// Number of the current watch. Earlier ones end with their next answer.
    std::uint64_t watch_generation_ = 0;
    std::deque<offered_document> offered_;
    bool loading_ = false;
    /// Cancelled when no offer is left to decide.
    asio::steady_timer loaded_;
    /// Hash of the document that was decided last and the era in which it was offered. The same document is
    /// offered again by each read.
    base::hash128 decided_hash_;
    std::uint64_t decided_era_ = 0;
    /// Document of which `compressed_` was made.
    std::shared_ptr<const config::environment_document> compressed_document_;
    std::string compressed_;
    std::uint64_t offered_revision_ = 0;
    std::uint64_t wanted_revision_ = 0;
    /// Daemons that announced a newer document last.
    std::deque<base::address> holders_;
    bool fetch_in_progress_ = false;
};

} // namespace rattanbay::daemon::internal
