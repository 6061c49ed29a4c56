#include "internal/sealed_record.hpp"

#include <utility>

namespace rattanbay::ledger::internal {

namespace {

/// Approximate memory usage of a table entry without the text of its reply.
constexpr std::size_t key_overhead_bytes = 192;

std::size_t reply_bytes(const std::optional<ledger::reply>& reply) {
    if (!reply) {
        return 0;
    }
    const response* as_response = std::get_if<response>(&*reply);
    return as_response != nullptr ? as_response->body.size() : std::get<base::problem>(*reply).detail.size();
}

base::problem make_problem(base::problem_kind kind, base::outcome outcome, std::string detail) {
    return {kind, outcome, std::move(detail)};
}

} // namespace

void sealed_record::add_entries(const std::vector<record_entry>& entries) {
    for (const record_entry& entry : entries) {
        const auto [it, inserted] = keys_.try_emplace(entry.key_hash, recorded_key{entry.body_hash, {}});
        memory_bytes_ += inserted ? key_overhead_bytes : 0;
        if (entry.reply) {
            memory_bytes_ += reply_bytes(entry.reply);
            it->second.reply = entry.reply;
        }
    }
}

ledger::reply sealed_record::reply_to(const keyed_request& request) const {
    if (request.key.prefix.window < first_window_) {
        return make_problem(base::problem_kind::invalid_idempotency_key, base::outcome::unknown,
                            "the window of the key is past its retention");
    }
    const auto it = keys_.find(key_hash(request));
    if (it == keys_.end()) {
        const bool recorded = request.key.prefix.recording == record_class::recorded;
        return recorded ? make_problem(base::problem_kind::owner_unreachable, base::outcome::not_run,
                                       "the VM that the key names is gone and did not run the request")
                        : make_problem(base::problem_kind::owner_unreachable, base::outcome::unknown,
                                       "the VM that the key names is gone and kept no record of the key");
    }
    if (it->second.body_hash != request.body_hash) {
        return make_problem(base::problem_kind::idempotency_key_reused, base::outcome::not_run,
                            "the idempotency key was used with another body");
    }
    if (!it->second.reply) {
        return make_problem(base::problem_kind::owner_unreachable, base::outcome::unknown,
                            "the VM that the key names is gone and may have run the request");
    }
    return *it->second.reply;
}

} // namespace rattanbay::ledger::internal
