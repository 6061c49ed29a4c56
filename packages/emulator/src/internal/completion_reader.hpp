#pragma once

#include <rattanbay/emulator/problem_details.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::emulator::internal {

/// Incremental parser of the server-sent events of a streamed completion.
class completion_reader {
public:
    /// Parses the next chunk of the body, which may begin and end within an event.
    void feed(std::string_view chunk);

    /// Text of the tokens received so far.
    const std::string& text() const { return text_; }

    /// Whether a token was received.
    bool has_tokens() const { return has_tokens_; }

    /// Whether the end marker was received.
    bool done() const { return done_; }

    /// Whether an event violated the protocol.
    bool malformed() const { return malformed_; }

    /// Problem document of an error event.
    const std::optional<problem_details>& problem() const { return problem_; }

private:
    void parse_line(std::string_view line);
    void parse_data(std::string_view data);

    std::string buffer_;
    std::string event_;
    std::string text_;
    bool has_tokens_ = false;
    bool done_ = false;
    bool malformed_ = false;
    std::optional<problem_details> problem_;
};

} // namespace rattanbay::emulator::internal
