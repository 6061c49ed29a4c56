#pragma once

#include <rattanbay/base/time.hpp>

#include <optional>

namespace rattanbay::relay {

/// Token bucket for requests of one daemon to an endpoint. It holds one request at most, so that daemons
/// which share a limit do not add up their bursts.
class request_allowance {
public:
    /// Starts with one request.
    request_allowance(double requests_per_second, base::time_point now);

    /// Changes the rate; what has accumulated is kept.
    void set_rate(double requests_per_second, base::time_point now);

    bool is_available(base::time_point now) const;

    void take(base::time_point now);

    /// Time until a request is available; nothing if the rate is 0 and none is left.
    std::optional<base::duration> time_to_next(base::time_point now) const;

private:
    double tokens_at(base::time_point now) const;

    double rate_;
    double tokens_ = 1;
    base::time_point updated_;
};

} // namespace rattanbay::relay
