#pragma once

#include <rattanbay/base/outcome.hpp>

namespace rattanbay::pipeline::internal {

/// Tracks whether the work of a request ran, for the outcome told to the caller.
class run_outcome {
public:
    /// `idempotent`: whether all stages of the pipeline are idempotent.
    explicit run_outcome(bool idempotent)
        : idempotent_(idempotent) {}

    /// A non-idempotent attempt was passed to the driver.
    void on_attempt_sent() { attempt_pending_ = true; }

    /// No byte of the pending non-idempotent attempt was sent.
    void on_attempt_not_sent() { attempt_pending_ = false; }

    /// The endpoint responded to the pending non-idempotent attempt.
    void on_response() {
        attempt_pending_ = false;
        ran_ = true;
    }

    /// A stage completed. A pipeline of idempotent stages counts as run from then on.
    void on_stage_completed() { ran_ = ran_ || idempotent_; }

    /// Whether non-idempotent work ran or may have run.
    bool may_have_run() const { return !idempotent_ && (attempt_pending_ || ran_); }

    base::outcome outcome() const {
        if (attempt_pending_) {
            return base::outcome::unknown;
        }
        return ran_ ? base::outcome::ran : base::outcome::not_run;
    }

private:
    bool idempotent_;
    bool attempt_pending_ = false;
    bool ran_ = false;
};

} // namespace rattanbay::pipeline::internal
