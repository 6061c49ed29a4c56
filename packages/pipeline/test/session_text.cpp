#include "session_text.hpp"

#include <iomanip>
#include <sstream>

namespace rattanbay::pipeline::test {

namespace {

std::string ms(base::duration value) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << base::to_milliseconds(value) << "ms";
    return out.str();
}

std::string number(attempt_id attempt) {
    return "#" + std::to_string(attempt.value);
}

std::string reason(const base::error& error) {
    return std::string(base::to_name(error.code)) + " \"" + error.message + "\"";
}

std::string echoed(const std::optional<std::string>& echo) {
    return echo ? " echo=" + *echo : "";
}

struct event_text {
    std::string operator()(const started&) const { return "started"; }

    std::string operator()(const route_chosen& it) const {
        return "route_chosen " + number(it.attempt) + " " + it.endpoint.text() + " " + it.address.text() +
               " estimate=" + ms(it.estimate);
    }

    std::string operator()(const route_refused& it) const {
        return "route_refused " + number(it.attempt) +
               (it.reason == route_refusal::no_endpoint ? " no_endpoint" : " retry_budget_exhausted");
    }

    std::string operator()(const attempt_not_sent& it) const {
        return "attempt_not_sent " + number(it.attempt) + " " + reason(it.reason);
    }

    std::string operator()(const token_received& it) const {
        return "token_received " + number(it.attempt) + " stream=" + it.stream +
               " index=" + std::to_string(it.index) + " \"" + it.text + "\"" + echoed(it.echo);
    }

    std::string operator()(const response_received& it) const {
        return "response_received " + number(it.attempt) + " status=" + std::to_string(it.status) + " " +
               it.body + echoed(it.echo);
    }

    std::string operator()(const attempt_failed& it) const {
        return "attempt_failed " + number(it.attempt) + " " + reason(it.reason);
    }

    std::string operator()(const timer_expired&) const { return "timer_expired"; }

    std::string operator()(const caller_disconnected&) const { return "caller_disconnected"; }
};

struct action_text {
    std::string operator()(const request_route& it) const {
        std::string text = "request_route " + number(it.attempt) + " " + it.service.text() + " " +
                           std::string(base::to_name(it.purpose)) + " left=" + ms(it.time_left);
        for (const base::endpoint_id& endpoint : it.excluded) {
            text += " not=" + endpoint.text();
        }
        return text;
    }

    std::string operator()(const start_attempt& it) const {
        return "start_attempt " + number(it.attempt) + " " + it.endpoint.text() + " " + it.address.text() +
               " " + it.path + " " + it.body + " header=" + it.attempt_header +
               (it.streamed ? " streamed" : "") + (it.new_connection ? " new_connection" : "") +
               (it.idempotency_key ? " key=" + *it.idempotency_key : "") +
               " header_timeout=" + ms(it.header_timeout) + " deadline=" + to_text(it.deadline);
    }

    std::string operator()(const cancel_attempt& it) const {
        return "cancel_attempt " + number(it.attempt) + " " + it.address.text() +
               (it.stream ? " stream=" + *it.stream : "");
    }

    std::string operator()(const emit_token& it) const {
        return "emit_token index=" + std::to_string(it.index) + " \"" + it.text + "\"";
    }

    std::string operator()(const set_timer& it) const { return "set_timer " + to_text(it.at); }

    std::string operator()(const complete& it) const {
        std::string text = "complete " + it.output + " tokens=" + std::to_string(it.tokens);
        for (const stage_report& stage : it.stages) {
            text += " " + stage.name + "/" + std::to_string(stage.attempts) + "/" + ms(stage.elapsed);
        }
        return text;
    }

    std::string operator()(const fail& it) const {
        return "fail " + std::string(base::to_name(it.problem.kind)) + " " +
               std::string(base::to_name(it.problem.outcome)) + " \"" + it.problem.detail + "\"";
    }

    std::string operator()(const report_endpoint_result& it) const {
        return "report_endpoint_result " + it.endpoint.text() + " " + std::string(base::to_name(it.result)) +
               " " + ms(it.elapsed);
    }
};

} // namespace

std::string to_text(const event& ev) {
    return std::visit(event_text{}, ev);
}

std::string to_text(const action& requested) {
    return std::visit(action_text{}, requested);
}

std::string to_text(base::time_point now) {
    return ms(now.time_since_epoch());
}

} // namespace rattanbay::pipeline::test
