#include <rattanbay/emulator/engine_streams.hpp>

#include <cassert>

namespace rattanbay::emulator {

stream_cursor engine_streams::open(const generation_request& request, base::time_point now) {
    remove_expired(now);
    const std::string id = "cmpl-" + engine_id_ + "-" + std::to_string(++opened_count_);
    stream_state opened{
        token_generator(request.prompt, request.seed), request.max_tokens, request.priority, 0, 1, now};
    streams_.emplace(id, std::move(opened));
    return stream_cursor{id, 1, 0, request.priority};
}

base::result<stream_cursor> engine_streams::resume(const std::string& stream, std::uint64_t after,
                                                   base::time_point now) {
    remove_expired(now);
    const auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return base::fail(base::error_code::not_found, "there is no stream '" + stream + "'");
    }
    if (after >= it->second.generated) {
        return base::fail(base::error_code::conflict,
                          "token " + std::to_string(after) + " was not generated yet");
    }
    it->second.last_used = now;
    return stream_cursor{stream, ++it->second.cursor_version, after + 1, it->second.priority};
}

base::result<std::uint64_t> engine_streams::cancel(const std::string& stream) {
    const auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return base::fail(base::error_code::not_found, "there is no stream '" + stream + "'");
    }
    const std::uint64_t generated = it->second.generated;
    streams_.erase(it);
    return generated;
}

bool engine_streams::is_current(const stream_cursor& cursor) const {
    const auto it = streams_.find(cursor.stream);
    return it != streams_.end() && it->second.cursor_version == cursor.version;
}

void engine_streams::touch(const stream_cursor& cursor, base::time_point now) {
    if (is_current(cursor)) {
        streams_.at(cursor.stream).last_used = now;
    }
}

bool engine_streams::can_deliver_now(const stream_cursor& cursor) const {
    assert(is_current(cursor));
    const stream_state& stream = streams_.at(cursor.stream);
    return cursor.next < stream.generated || cursor.next >= stream.max_tokens;
}

base::result<std::optional<generated_token>> engine_streams::next_token(stream_cursor& cursor,
                                                                        base::time_point now) {
    if (!is_current(cursor)) {
        return base::fail(base::error_code::not_found, "the stream was cancelled or resumed elsewhere");
    }
    stream_state& stream = streams_.at(cursor.stream);
    if (cursor.next >= stream.max_tokens) {
        return std::optional<generated_token>();
    }
    const std::uint64_t index = cursor.next++;
    stream.generated = std::max(stream.generated, cursor.next);
    stream.last_used = now;
    return std::optional(
        generated_token{index, stream.source.token(index), cursor.next == stream.max_tokens});
}

void engine_streams::remove_expired(base::time_point now) {
    std::erase_if(streams_, [this, now](const std::pair<const std::string, stream_state>& row) {
        return row.second.last_used + retention_ < now;
    });
}

} // namespace rattanbay::emulator
