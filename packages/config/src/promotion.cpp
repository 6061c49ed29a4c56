#include <rattanbay/config/promotion.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::config {

namespace {

std::string failure_message(const object_api::answer& answer) {
    const object_api::failed* failure = std::get_if<object_api::failed>(&answer);
    return failure != nullptr ? failure->reason.message
                              : "the platform returned an unexpected kind of answer";
}

/// Whether a write with this answer may have taken effect or may still do so.
bool may_take_effect(const object_api::answer& answer) {
    const object_api::failed* failure = std::get_if<object_api::failed>(&answer);
    return failure == nullptr || failure->reason.code != base::error_code::connection_refused;
}

std::string revision_text(std::uint64_t revision) {
    return "revision " + std::to_string(revision);
}

publication_result make_result(publication_status status, std::string reason,
                               std::optional<std::uint64_t> revision_in_force = std::nullopt) {
    return {status, std::move(reason), revision_in_force, std::nullopt};
}

/// Result of a publication that exceeded its timeout.
publication_result timed_out_result(bool in_doubt, const std::string& reason,
                                    std::optional<std::uint64_t> revision_in_force = std::nullopt) {
    const publication_status status =
        in_doubt ? publication_status::unknown : publication_status::unreachable;
    const std::string effect = in_doubt ? "a write may have taken effect: " : "nothing was written: ";
    return make_result(status, effect + reason, revision_in_force);
}

} // namespace

retry_backoff::retry_backoff(retry_policy policy, base::random_source random)
    : policy_(policy)
    , random_(random)
    , current_max_delay_(policy.initial_delay) {}

void retry_backoff::start(base::time_point now) {
    deadline_ = now + policy_.timeout;
}

std::optional<base::duration> retry_backoff::next_delay(base::time_point now) {
    const auto share = static_cast<double>(current_max_delay_.count()) * random_.unit();
    const base::duration delay(static_cast<base::duration::rep>(share));
    current_max_delay_ = std::min(2 * current_max_delay_, policy_.max_delay);
    if (now + delay >= deadline_) {
        return std::nullopt;
    }
    return delay;
}

document_publication::document_publication(std::string environment, environment_document document,
                                           retry_policy policy, base::random_source random)
    : environment_(std::move(environment))
    , document_(document_object::of(document))
    , retry_(policy, random) {}

publication_step document_publication::start(base::time_point now) {
    retry_.start(now);
    return read();
}

publication_step document_publication::handle(const object_api::answer& answer, base::time_point now) {
    return phase_ == phase::reading ? handle_read_answer(answer, now) : handle_write_answer(answer, now);
}

publication_step document_publication::read(base::duration delay) {
    phase_ = phase::reading;
    return delayed_call{object_api::read_object{document_object::key(environment_)}, delay};
}

publication_step document_publication::write() {
    phase_ = phase::writing;
    return delayed_call{
        object_api::write_object{document_object::key(environment_), version_, document_.serialize()}, {}};
}

publication_step document_publication::retry(std::string reason, base::time_point now) {
    const std::optional<base::duration> delay = retry_.next_delay(now);
    if (!delay) {
        return timed_out_result(in_doubt_, reason, revision_in_force_);
    }
    return read(*delay);
}

publication_step document_publication::finish(publication_status status, std::string reason) const {
    publication_result out = make_result(status, std::move(reason), revision_in_force_);
    if (status == publication_status::accepted) {
        out.replaced_revision = replaced_revision_;
    }
    return out;
}

publication_step document_publication::handle_read_answer(const object_api::answer& answer,
                                                          base::time_point now) {
    if (std::holds_alternative<object_api::not_found>(answer)) {
        if (newest_version_ > 0) {
            return retry("the platform returned a stale copy of the document", now);
        }
        version_.reset();
        replaced_revision_.reset();
        return write();
    }
    const object_api::object* current = std::get_if<object_api::object>(&answer);
    if (current == nullptr) {
        return retry(failure_message(answer), now);
    }
    if (current->version < newest_version_) {
        return retry("the platform returned a stale copy of the document", now);
    }
    newest_version_ = current->version;
    return evaluate_current(*current);
}

publication_step document_publication::evaluate_current(const object_api::object& current) {
    const base::result<document_object> accepted = document_object::parse(current.value);
    if (!accepted || !accepted->hash_matches()) {
        const std::string cause = accepted ? "its sha256 does not match its text" : accepted.error().message;
        const std::string reason = "the document in " + environment_ + " is corrupted: " + cause;
        return finish(in_doubt_ ? publication_status::unknown : publication_status::refused, reason);
    }
    revision_in_force_ = accepted->revision;
    const std::string in_force =
        revision_text(accepted->revision) + " is in force in " + environment_ + " and this file ";
    if (accepted->sha256 == document_.sha256) {
        return in_doubt_ ? finish(publication_status::accepted, "")
                         : finish(publication_status::already_accepted,
                                  revision_text(accepted->revision) + " with these bytes is in force in " +
                                      environment_ + " already");
    }
    if (accepted->revision > document_.revision) {
        // An unanswered write may have been accepted and then replaced by the higher revision.
        return finish(in_doubt_ ? publication_status::unknown : publication_status::refused,
                      in_force + "has " + revision_text(document_.revision) + "; choose a revision above " +
                          std::to_string(accepted->revision));
    }
    if (accepted->revision == document_.revision) {
        return finish(publication_status::refused, in_force +
                                                       "has the same revision with different bytes; choose "
                                                       "a revision above " +
                                                       std::to_string(accepted->revision));
    }
    replaced_revision_ = accepted->revision;
    version_ = current.version;
    return write();
}

publication_step document_publication::handle_write_answer(const object_api::answer& answer,
                                                           base::time_point now) {
    if (std::holds_alternative<object_api::written>(answer)) {
        revision_in_force_ = document_.revision;
        return finish(publication_status::accepted, "");
    }
    if (const object_api::conflict* other = std::get_if<object_api::conflict>(&answer)) {
        newest_version_ = std::max(newest_version_, other->version);
        return retry("concurrent writes keep changing the document", now);
    }
    if (std::holds_alternative<object_api::not_found>(answer)) {
        return retry("the platform returned a stale copy of the document", now);
    }
    in_doubt_ = in_doubt_ || may_take_effect(answer);
    return retry(failure_message(answer), now);
}

proof_publication::proof_publication(proof value, environment_document document, retry_policy policy,
                                     base::random_source random)
    : proof_(std::move(value))
    , document_(std::move(document))
    , retry_(policy, random) {}

publication_step proof_publication::start(base::time_point now) {
    retry_.start(now);
    const base::result<void> valid = proof_.check(document_);
    if (!valid) {
        return make_result(publication_status::refused, valid.error().message);
    }
    return read();
}

publication_step proof_publication::handle(const object_api::answer& answer, base::time_point now) {
    if (std::holds_alternative<object_api::written>(answer)) {
        return make_result(publication_status::accepted, "");
    }
    if (std::holds_alternative<object_api::conflict>(answer)) {
        exists_ = true;
        writing_ = false;
        return read();
    }
    if (const object_api::object* current = std::get_if<object_api::object>(&answer)) {
        return evaluate_current(*current);
    }
    if (std::holds_alternative<object_api::not_found>(answer)) {
        if (exists_) {
            return retry("the platform returned a stale copy of the proof", now);
        }
        writing_ = true;
        const object_api::write_object create{proof::key(proof_.sha256), std::nullopt, proof_.serialize()};
        return delayed_call{create, {}};
    }
    in_doubt_ = in_doubt_ || (writing_ && may_take_effect(answer));
    return retry(failure_message(answer), now);
}

publication_step proof_publication::evaluate_current(const object_api::object& current) const {
    const base::result<proof> existing = proof::parse(current.value);
    const base::result<void> valid =
        existing ? existing->check(document_) : tl::unexpected<base::error>(existing.error());
    if (!valid) {
        return make_result(publication_status::refused,
                           "the existing proof cannot be used: " + valid.error().message);
    }
    if (in_doubt_) {
        return make_result(publication_status::accepted, "");
    }
    return make_result(publication_status::already_accepted, "a proof of these bytes already exists");
}

publication_step proof_publication::read(base::duration delay) const {
    return delayed_call{object_api::read_object{proof::key(proof_.sha256)}, delay};
}

publication_step proof_publication::retry(std::string reason, base::time_point now) {
    writing_ = false;
    const std::optional<base::duration> delay = retry_.next_delay(now);
    if (!delay) {
        return timed_out_result(in_doubt_, reason);
    }
    return read(*delay);
}

document_promotion::document_promotion(std::string environment, environment_document document,
                                       retry_policy policy, base::random_source random)
    : environment_(environment)
    , document_(document)
    , retry_(policy, random)
    , publication_(std::move(environment), std::move(document), policy, random) {}

publication_step document_promotion::start(base::time_point now) {
    retry_.start(now);
    return delayed_call{object_api::read_object{proof::key(document_.sha256)}, {}};
}

publication_step document_promotion::handle(const object_api::answer& answer, base::time_point now) {
    return proof_verified_ ? publication_.handle(answer, now) : check_proof(answer, now);
}

publication_step document_promotion::check_proof(const object_api::answer& answer, base::time_point now) {
    if (std::holds_alternative<object_api::not_found>(answer)) {
        return make_result(publication_status::refused, "no proof exists for sha256 " + document_.sha256 +
                                                            "; apply this file in trial and run prove first");
    }
    const object_api::object* current = std::get_if<object_api::object>(&answer);
    if (current == nullptr) {
        const std::optional<base::duration> delay = retry_.next_delay(now);
        if (!delay) {
            return timed_out_result(false, failure_message(answer));
        }
        return delayed_call{object_api::read_object{proof::key(document_.sha256)}, *delay};
    }
    const base::result<proof> read = proof::parse(current->value);
    const base::result<void> valid =
        read ? read->check(document_) : tl::unexpected<base::error>(read.error());
    if (!valid) {
        return make_result(publication_status::refused, "the proof cannot be used: " + valid.error().message);
    }
    if (read->environment == environment_) {
        return make_result(publication_status::refused,
                           "the proof comes from " + environment_ +
                               " itself; a trial in another environment is required");
    }
    proof_verified_ = true;
    return publication_.start(now);
}

} // namespace rattanbay::config
