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

/// Retries of an operator's command while the platform fails.
struct retry_policy {
    /// Exponential back-off with full jitter: each delay is uniformly distributed between zero and the
    /// current maximum, which doubles from `initial_delay` up to `max_delay`.
    base::duration initial_delay = std::chrono::milliseconds(200);
    base::duration max_delay = std::chrono::seconds(10);
    /// Time after the first call beyond which no further call is made.
    base::duration timeout = std::chrono::seconds(30);
};

/// Computes the retry delays of one command.
class retry_backoff {
public:
    retry_backoff(retry_policy policy, base::random_source random);

    /// Starts the timeout.
    void start(base::time_point now);

    /// Delay before the next call, or nothing if the call would start after the timeout.
    std::optional<base::duration> next_delay(base::time_point now);

private:
    retry_policy policy_;
    base::random_source random_;
    base::duration current_max_delay_;
    base::time_point deadline_;
};

/// A platform call to make after a delay; its answer is passed to `handle`.
struct delayed_call {
    object_api::call call;
    base::duration delay{};
};

/// Outcome of a publication.
enum class publication_status {
    /// This publication's write took effect.
    accepted,
    /// The same bytes were accepted before.
    already_accepted,
    /// Nothing was written, and no write of this publication can take effect later.
    refused,
    /// Nothing was written because the platform was unavailable.
    unreachable,
    /// A write may have taken effect or may still do so.
    unknown,
};

/// Result of a publication.
struct publication_result {
    publication_status status = publication_status::unknown;
    /// Human-readable reason; empty if accepted.
    std::string reason;
    /// Revision in force according to the last read. The read may have returned a stale copy, so the actual
    /// revision may be higher.
    std::optional<std::uint64_t> revision_in_force = std::nullopt;
    /// Revision replaced by an accepted document; none if it is the first of the environment.
    std::optional<std::uint64_t> replaced_revision = std::nullopt;
};

/// Next step of a publication: another call, or the final result.
using publication_step = std::variant<delayed_call, publication_result>;

/// Publishes a document with conditional writes to its environment's object. A document whose revision is not
/// higher than the accepted one is refused unless the bytes are identical. After a write without an answer
/// the object is read to determine the effect. The platform may serve stale copies: a copy older than a
/// version already seen is read again, and a write based on a stale copy fails its condition.
class document_publication {
public:
    document_publication(std::string environment, environment_document document, retry_policy policy,
                         base::random_source random);

    /// Starts the publication and returns its first step.
    publication_step start(base::time_point now);

    /// Processes the answer to the last call and returns the next step.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    enum class phase { reading, writing };

    publication_step read(base::duration delay = {});
    publication_step write();
    publication_step retry(std::string reason, base::time_point now);
    publication_step finish(publication_status status, std::string reason) const;
    publication_step handle_read_answer(const object_api::answer& answer, base::time_point now);
    publication_step handle_write_answer(const object_api::answer& answer, base::time_point now);
    publication_step evaluate_current(const object_api::object& current);

    std::string environment_;
    document_object document_;
    retry_backoff retry_;
    phase phase_ = phase::reading;
    /// Expected version for the next write; none if the object does not exist.
    std::optional<std::uint64_t> version_;
    /// Highest version of the object seen in any answer.
    std::uint64_t newest_version_ = 0;
    std::optional<std::uint64_t> revision_in_force_;
    std::optional<std::uint64_t> replaced_revision_;
    /// Whether a write was sent whose effect is unknown.
    bool in_doubt_ = false;
};

/// Publishes a proof. An existing object with a valid proof of the same bytes is left unchanged.
class proof_publication {
public:
    proof_publication(proof value, environment_document document, retry_policy policy,
                      base::random_source random);

    /// Starts the publication and returns its first step.
    publication_step start(base::time_point now);

    /// Processes the answer to the last call and returns the next step.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    publication_step read(base::duration delay = {}) const;
    publication_step retry(std::string reason, base::time_point now);
    publication_step evaluate_current(const object_api::object& current) const;

    proof proof_;
    environment_document document_;
    retry_backoff retry_;
    /// Whether any answer showed that the object exists.
    bool exists_ = false;
    bool writing_ = false;
    bool in_doubt_ = false;
};

/// Publishes a document if the same bytes were proved in a trial environment.
class document_promotion {
public:
    /// `environment` is the target of the promotion.
    document_promotion(std::string environment, environment_document document, retry_policy policy,
                       base::random_source random);

    /// Starts the publication and returns its first step.
    publication_step start(base::time_point now);

    /// Processes the answer to the last call and returns the next step.
    publication_step handle(const object_api::answer& answer, base::time_point now);

private:
    publication_step check_proof(const object_api::answer& answer, base::time_point now);

    std::string environment_;
    environment_document document_;
    retry_backoff retry_;
    document_publication publication_;
    bool proof_verified_ = false;
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
