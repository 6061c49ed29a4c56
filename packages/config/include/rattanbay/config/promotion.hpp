#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/proof.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rattanbay::config {

/// How long an operator's command goes on while the platform fails.
struct retry_policy {
    /// Bounds of the back-off; each wait is a uniform share of the current bound (full jitter).
    base::duration first_delay = std::chrono::milliseconds(200);
    base::duration max_delay = std::chrono::seconds(10);
    /// Time from the first call after which no further call is made.
    base::duration limit = std::chrono::seconds(30);
};

/// Back-off of the calls of one command.
class call_retry {
public:
    call_retry(retry_policy policy, base::random_source random);

    /// Starts the time limit.
    void start(base::time_point now);

    /// Wait before the next call, or nothing when the limit would be exceeded.
    std::optional<base::duration> next_delay(base::time_point now);

private:
    retry_policy policy_;
    base::random_source random_;
    base::duration bound_;
    base::time_point end_;
};

/// A platform call to be made after a wait; its answer goes to `handle`.
struct delayed_call {
    object_api::call call;
    base::duration delay{};
};

/// How a publication ended.
enum class publication_status {
    /// This publication's write took effect.
    accepted,
    /// The very same bytes had been accepted before.
    already_accepted,
    /// Nothing was written, and no write of this publication takes effect later.
    refused,
    /// Nothing was written because the platform could not be used.
    unreachable,
    /// A write may have taken effect, or may do so later.
    unknown,
};

/// End of a publication.
struct publication_result {
    publication_status status = publication_status::unknown;
    /// A sentence for people; empty when accepted.
    std::string reason;
    /// Revision that was in force when the platform was last read. An old copy may have been read,
    /// so the revision in force may be higher.
    std::optional<std::uint64_t> revision_in_force = std::nullopt;
    /// Revision that an accepted document replaced; none when it is the environment's first.
    std::optional<std::uint64_t> replaced_revision = std::nullopt;
};

/// What a publication does next: one call, or nothing more.
using publication_step = std::variant<delayed_call, publication_result>;

/// Writes a document to its environment's object by conditional writes. A document whose revision
/// is not above the accepted one is refused unless it is the same bytes. A write without an answer
/// is followed by a read. The platform may serve old copies: a copy older than a version that was
/// already seen is read again, and a write that relies on an old copy fails its condition.
class document_publication {
public:
    document_publication(std::string environment, environment_document document, retry_policy policy,
                         base::random_source random);

    /// The first step.
    publication_step start(base::time_point now);

    /// Takes the answer to the last call.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    enum class phase { reading, writing };

    publication_step read(base::duration delay = {});
    publication_step write();
    publication_step retry(std::string reason, base::time_point now);
    publication_step finish(publication_status status, std::string reason) const;
    publication_step handle_read(const object_api::answer& answer, base::time_point now);
    publication_step handle_written(const object_api::answer& answer, base::time_point now);
    publication_step compare(const object_api::object& current);

    std::string environment_;
    document_object document_;
    call_retry retry_;
    phase phase_ = phase::reading;
    /// Version on which the next write depends; none when the object does not exist.
    std::optional<std::uint64_t> version_;
    /// Highest version of the object that any answer has named.
    std::uint64_t newest_version_ = 0;
    std::optional<std::uint64_t> revision_in_force_;
    std::optional<std::uint64_t> replaced_revision_;
    /// Whether a write was sent whose effect is not known.
    bool in_doubt_ = false;
};

/// Writes a proof. An object that already holds a proof of the same bytes is left as it is.
class proof_publication {
public:
    proof_publication(proof value, environment_document document, retry_policy policy,
                      base::random_source random);

    /// The first step.
    publication_step start(base::time_point now);

    /// Takes the answer to the last call.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    publication_step read(base::duration delay = {}) const;
    publication_step retry(std::string reason, base::time_point now);
    publication_step compare(const object_api::object& current) const;

    proof proof_;
    environment_document document_;
    call_retry retry_;
    /// Whether any answer said that the object exists.
    bool exists_ = false;
    bool writing_ = false;
    bool in_doubt_ = false;
};

/// Publishes a document if its very bytes were proved in a trial environment.
class document_promotion {
public:
    /// `environment` is the one to write to.
    document_promotion(std::string environment, environment_document document, retry_policy policy,
                       base::random_source random);

    /// The first step.
    publication_step start(base::time_point now);

    /// Takes the answer to the last call.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    publication_step check_proof(const object_api::answer& answer, base::time_point now);

    std::string environment_;
    environment_document document_;
    call_retry retry_;
    document_publication publication_;
    bool proved_ = false;
};

} // namespace rattanbay::config

template <> struct rattanbay::base::enum_names<rattanbay::config::publication_status> {
    static constexpr std::array<enum_name<config::publication_status>, 5> table{{
        {config::publication_status::accepted, "accepted"},
        {config::publication_status::already_accepted, "already accepted"},
        {config::publication_status::refused, "refused"},
        {config::publication_status::unreachable, "unreachable"},
        {config::publication_status::unknown, "unknown"},
    }};
};
