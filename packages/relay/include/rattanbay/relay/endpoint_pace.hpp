#pragma once

namespace rattanbay::relay {

/// Share of its usual requests that an endpoint gets after it has started or returned, found from how it
/// answers. An endpoint that answers as its peers do has its full share after two answers; one that is
/// slower or fails is backed off from, but never left without requests, as only these show that it is well.
class endpoint_pace {
public:
    /// Share of an endpoint of which nothing is known, and the least one.
    static constexpr double first_share = 0.25;
    static constexpr double min_share = 0.125;
    /// Answers that take longer than this multiple of the peers' time are slow. The cache of an engine that
    /// has just started is empty, so that it reads prompts whole that its peers read in part.
    static constexpr double slow_factor = 3;

    /// Begins with the first share.
    void restart() { share_ = first_share; }

    /// Records an answer that took `relative_time` times as long as the peers' answers.
    void record_answer(double relative_time);

    /// Records a failed, declined or missing answer.
    void record_failure();

    /// Between `min_share` and 1, which is the full share.
    double share() const { return share_; }

private:
    double share_ = 1;
};

} // namespace rattanbay::relay
