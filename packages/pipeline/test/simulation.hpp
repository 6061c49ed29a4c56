#pragma once

#include "oracle.hpp"
#include "session.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace rattanbay::pipeline::test {

/// Input of a simulation. Each random decision consumes the next number of `decisions`. 0 means no fault
/// and is used once the numbers are exhausted, so shrinking `decisions` removes faults.
struct scenario {
    std::vector<test_stage> stages;
    request req;
    std::vector<std::uint16_t> decisions;
};

/// Simulates the endpoints, connections and driver of one execution in virtual time. Responses may be late,
/// duplicated, swapped between attempts, truncated, out of order or carry a wrong echo; endpoints break
/// streams, stop responding and refuse calls. Events of ended attempts may be delivered at any later time.
class simulation {
public:
    explicit simulation(scenario setup);

    /// Runs until no event is pending or a rule is violated; `verdict` then holds the result.
    void run();

    const oracle& verdict() const { return oracle_; }

    std::size_t steps() const { return steps_; }

    /// All events and actions, one per line.
    const std::string& log() const { return log_; }

private:
    /// A callback scheduled for a time; `sequence` orders callbacks of the same time.
    struct pending {
        base::time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> callback;
    };

    struct later {
        bool operator()(const pending& a, const pending& b) const {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };

    /// A token stream at an engine.
    struct engine_stream {
        base::address address;
        std::vector<std::string> tokens;
        int resumes = 0;
    };

    /// Returns the index of the weight selected by the next decision. Weights are per mille.
    std::size_t pick(std::initializer_list<unsigned> weights);

    bool chance(unsigned per_thousand) { return pick({1000 - per_thousand, per_thousand}) == 1; }

    void schedule(base::duration after, std::function<void()> callback);
    void send(base::duration after, event ev);
    void deliver(const event& ev);
    /// Passes an event that is about to be delivered to the oracle.
    void record_event(const event& ev);

    void perform(const request_route& requested);
    void perform(const start_attempt& requested);
    void perform(const cancel_attempt& requested);
    void perform(const emit_token& requested);
    void perform(const set_timer& requested);
    void perform(const complete& requested);
    void perform(const fail& requested);
    void perform(const report_endpoint_result& requested);

    /// Response time of an endpoint: usually short, sometimes longer than the p95 or the deadline.
    base::duration delay(std::size_t stage);

    /// Simulates the execution of a call by an endpoint and its response.
    void process_call(const start_attempt& call);
    /// Fault of an endpoint or connection that delays or replaces the response.
    enum class fault {
        none,
        not_sent,
        broken,
        not_run,
        timeout,
        retryable_status,
        permanent_status,
        no_response
    };
    void fail_call(const start_attempt& call, fault kind, std::function<void()> late_answer);
    /// Sends the response to a call, possibly duplicated, swapped, truncated or with a wrong echo.
    void answer_call(const start_attempt& call, const std::string& output, base::duration after);
    void send_answer(const start_attempt& call, const std::string& output, base::duration after);
    void execute(const start_attempt& call, const std::string& output);
    void start_stream(const start_attempt& call);
    void resume_stream(const start_attempt& call);
    /// Sends the tokens from index `from` on, with faults, and the end-of-stream marker.
    void send_tokens(const start_attempt& call, const std::string& name, std::size_t from,
                     base::duration after);
    /// Sends one token with a fault. Returns false if the stream ends with it.
    bool send_faulty_token(const start_attempt& call, const token_received& token, std::size_t kind,
                           base::duration after);

    /// Returns the right echo or none.
    std::optional<std::string> echo(const start_attempt& call);
    void fail_attempt(const start_attempt& call, base::duration after, base::error_code code);

    scenario setup_;
    execution execution_;
    oracle oracle_;
    std::size_t next_decision_ = 0;
    base::time_point now_;
    std::priority_queue<pending, std::vector<pending>, later> queue_;
    std::uint64_t next_sequence_ = 0;
    std::optional<base::time_point> timer_;
    /// Delay of the timer's event.
    base::duration timer_delay_{};
    std::map<std::string, engine_stream> streams_;
    /// Attempt headers and bodies of earlier responses, used for swapped responses.
    std::vector<std::pair<std::string, std::string>> earlier_answers_;
    std::map<attempt_id, start_attempt> calls_;
    /// Attempts that have neither ended nor been cancelled.
    std::set<attempt_id> current_;
    std::uint64_t generations_ = 0;
    std::size_t steps_ = 0;
    std::string log_;
};

} // namespace rattanbay::pipeline::test
