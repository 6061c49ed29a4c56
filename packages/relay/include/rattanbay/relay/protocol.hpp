#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/relay/call.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// The names and formats in which a platform's callers and endpoints speak. An implementation only
/// translates and holds no state; any number of threads may use it.
class protocol {
public:
    virtual ~protocol() = default;

    /// Reads a client's request. Errors: `invalid_input`.
    virtual base::result<call> read_call(const http::request& message) const = 0;

    /// The request for an endpoint.
    virtual http::request write_call(const call& request, const send_order& order) const = 0;

    /// Reads the head of an endpoint's answer.
    virtual answer_head read_answer(const http::response_header& head) const = 0;

    /// A refusal or failure of the relay's own. With `retry_after` the client is told when to come
    /// back; only requests that have not run get one.
    virtual http::response write_problem(const base::problem& problem,
                                         std::optional<base::duration> retry_after) const = 0;

    /// A call for pieces at one endpoint of a worker pool; `orders` is not empty.
    virtual http::request write_pieces(const std::vector<piece_order>& orders,
                                       const base::endpoint_id& endpoint) const = 0;

    /// Results of a call for `count` pieces, in the order of the pieces. Errors:
    /// `protocol_violation`.
    virtual base::result<std::vector<piece_result>> read_pieces(const std::string& body,
                                                                std::size_t count) const = 0;

    /// Address of the endpoint that holds a result, if its handle tells.
    virtual std::optional<base::address> holder(const std::string& handle) const = 0;

    /// A call that gives results at one endpoint up.
    virtual http::request write_release(const std::vector<std::string>& handles) const = 0;

    /// Reads the question which daemons to use; nothing when the request asks for something else.
    virtual std::optional<entries_question> read_entries_question(const http::request& message) const = 0;

    /// The answer to that question, which the caller may keep for `lifetime`.
    virtual http::response write_entries(const std::vector<base::address>& entries,
                                         base::duration lifetime) const = 0;

    /// Whether a request asks for the daemon's readiness.
    virtual bool is_readiness_question(const http::request& message) const = 0;
};

} // namespace rattanbay::relay
