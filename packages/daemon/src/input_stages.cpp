#include "internal/input_stages.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

input_stages::input_stages(piece_pool& pool, asio::any_io_executor executor, const relay::call& request,
                           const config::relay_route& route, base::time_point due,
                           base::time_point deadline)
    : pool_(pool)
    , executor_(executor)
    , request_(request)
    , route_(route)
    , due_(due)
    , deadline_(deadline)
    , progress_(executor)
    , stages_(route.stages.size()) {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        stages_[n].pieces = n < request.stage_pieces.size() ? request.stage_pieces[n] : 0;
        stages_[n].handles.resize(stages_[n].pieces);
    }
}

asio::awaitable<std::optional<relay::piece_failure>> input_stages::make() {
    const std::shared_ptr<input_stages> self = shared_from_this();
    begin_ready_stages();
    while (!is_whole() && !failure_ && !stopped_) {
        if (now() >= deadline_) {
            failure_ = relay::piece_failure::late;
            break;
        }
        progress_.expires_at(to_steady(deadline_));
        boost::system::error_code ignored;
        co_await progress_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return failure_;
}

void input_stages::stop() {
    stopped_ = true;
    progress_.cancel();
}

bool input_stages::is_ready(std::size_t stage) const {
    return std::ranges::all_of(route_.stages[stage].after, [this](std::size_t needed) {
        return stages_[needed].made == stages_[needed].pieces;
    });
}

bool input_stages::is_whole() const {
    return std::ranges::all_of(stages_, [](const stage_state& row) { return row.made == row.pieces; });
}

void input_stages::begin_ready_stages() {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (!stages_[n].begun && is_ready(n)) {
            begin(n);
        }
    }
}

void input_stages::begin(std::size_t stage) {
    stage_state& state = stages_[stage];
    state.begun = true;
    relay::piece_order order;
    order.call = request_.id;
    order.stage = stage;
    for (const std::size_t needed : route_.stages[stage].after) {
        order.inputs.insert(order.inputs.end(), stages_[needed].handles.begin(),
                            stages_[needed].handles.end());
    }
    if (route_.stages[stage].after.empty()) {
        order.key = request_.piece_key;
    }
    const std::shared_ptr<input_stages> self = shared_from_this();
    for (std::size_t piece = 0; piece < state.pieces; ++piece) {
        order.piece = piece;
        state.tickets.push_back(
            pool_.make(piece_request{route_.stages[stage].service, order, due_, deadline_},
                       [self, stage, piece](const relay::piece_result& result) {
                           asio::post(self->executor_, [self, stage, piece, result]() {
                               self->take(stage, piece, result);
                           });
                       }));
    }
}

void input_stages::take(std::size_t stage, std::size_t piece, const relay::piece_result& result) {
    if (stopped_) {
        if (result.handle) {
            pool_.release({*result.handle});
        }
        return;
    }
    if (result.handle) {
        stages_[stage].handles[piece] = *result.handle;
        ++stages_[stage].made;
        begin_ready_stages();
    } else if (!failure_) {
        failure_ = result.failure;
    }
    progress_.cancel();
}

std::vector<std::string> input_stages::inputs() const {
    std::vector<std::string> out;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const bool needed = std::ranges::any_of(route_.stages, [n](const config::relay_stage& other) {
            return std::ranges::find(other.after, n) != other.after.end();
        });
        if (!needed) {
            out.insert(out.end(), stages_[n].handles.begin(), stages_[n].handles.end());
        }
    }
    return out;
}

void input_stages::release() {
    stopped_ = true;
    std::vector<std::string> held;
    for (stage_state& state : stages_) {
        for (const relay::piece_ticket ticket : state.tickets) {
            pool_.cancel(ticket);
        }
        for (const std::string& handle : state.handles) {
            if (!handle.empty()) {
                held.push_back(handle);
            }
        }
        state.handles.clear();
    }
    pool_.release(std::move(held));
}

} // namespace rattanbay::daemon::internal
