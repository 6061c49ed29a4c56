#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/relay/messages.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// Translates between the relay and the message formats of a platform's clients and endpoints.
/// Implementations are stateless and thread-safe.
class protocol {
public:
    virtual ~protocol() = default;

    /// Parses a client's request. Errors: `invalid_input`.
    virtual base::result<client_request> read_request(const http::request& message) const = 0;

    /// Builds the request to an endpoint.
    virtual http::request write_request(const client_request& request, const send_options& options) const = 0;

    /// Parses the header of an endpoint's response.
    virtual endpoint_response_header read_response(const http::response_header& header) const = 0;

    /// Builds the response for a refusal or failure by the relay itself. `retry_after` tells the client when
    /// to retry; it is only set for requests that have not run.
    virtual http::response write_problem(const base::problem& problem,
                                         std::optional<base::duration> retry_after) const = 0;

    /// Builds a request for pieces to one endpoint of a worker pool; `orders` must not be empty.
    virtual http::request write_piece_request(const std::vector<piece_order>& orders,
                                              const base::endpoint_id& endpoint) const = 0;

    /// Parses the results of a request for `count` pieces, in the order of the pieces. Errors:
    /// `protocol_violation`.
    virtual base::result<std::vector<piece_result>> read_piece_results(const std::string& body,
                                                                       std::size_t count) const = 0;

    /// Address of the endpoint that holds a result; empty if the handle does not contain one.
    virtual std::optional<base::address> result_holder(const std::string& handle) const = 0;

    /// Builds a request that releases results held by one endpoint.
    virtual http::request write_release_request(const std::vector<std::string>& handles) const = 0;

    /// Parses a query for the daemons to use; empty if the request is something else.
    virtual std::optional<entries_query> read_entries_query(const http::request& message) const = 0;

    /// Builds the response to that query, which the caller may cache for `lifetime`.
    virtual http::response write_entries_response(const std::vector<base::address>& entries,
                                                  base::duration lifetime) const = 0;

    /// Whether a request is a readiness probe of the daemon.
    virtual bool is_readiness_probe(const http::request& message) const = 0;
};

} // namespace rattanbay::relay
