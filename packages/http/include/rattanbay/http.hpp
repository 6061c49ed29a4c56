#pragma once

/// HTTP/1.1 server and client on Boost.Beast, used by all programs.
///
/// Parts:
/// - client_connection.hpp: one client connection, used by one exchange at a time
/// - closed_connection.hpp: report of a connection of a server that has ended
/// - connection_pool.hpp: pool of idle client connections
/// - field_value.hpp: which texts can be sent in header fields
/// - liveness_probes.hpp: probes that find connections which the other side has lost
/// - descriptor_budget.hpp: descriptors that the connections of a process share
/// - memory_budget.hpp: memory that a process holds for others
/// - message.hpp: requests, responses and header fields
/// - operation_timeout.hpp: timeout of an operation that does not win over data that has arrived
/// - response_memory.hpp: bounds on the memory of the responses that a process holds
/// - server.hpp: listener, connections and their limits
/// - unanswered_request.hpp: report of a request whose connection ended without a complete response

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/closed_connection.hpp>
#include <rattanbay/http/connection_pool.hpp>
#include <rattanbay/http/descriptor_budget.hpp>
#include <rattanbay/http/field_value.hpp>
#include <rattanbay/http/liveness_probes.hpp>
#include <rattanbay/http/memory_budget.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/http/operation_timeout.hpp>
#include <rattanbay/http/response_memory.hpp>
#include <rattanbay/http/server.hpp>
#include <rattanbay/http/unanswered_request.hpp>
