#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/peer/member_record.hpp>
#include <rattanbay/relay/messages.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::peer {

/// Asks for all that a starting daemon needs while the platform is down.
struct state_request {
    /// Revision that the sender has; the reply has no document text unless its revision is higher.
    std::uint64_t revision = 0;
};

/// Answers a `state_request`.
struct state_reply {
    /// Text of the document in force, empty when the sender's is not older.
    std::string document;
    object_api::vm_list vms;
    std::vector<member_record> members;
};

/// Passes a request with a key on to the incarnation that the key names.
struct forward_request {
    base::request_id request;
    base::account_id account;
    std::string key;
    /// Path and body of the request, as the caller sent them.
    std::string target;
    std::string body;
    /// Time left until the request's deadline.
    std::uint64_t time_left_ms = 0;
};

/// The receiver is another incarnation than the key names; it has neither run nor stored anything.
struct wrong_incarnation {};

/// Answers a `forward_request` with the owner's reply.
struct forward_reply {
    ledger::reply reply;
};

/// Asks the daemon that schedules a worker pool for all pieces of one stage. Times are relative, as
/// clocks of daemons differ.
struct make_pieces {
    base::service_name service;
    relay::stage_order order;
    /// Where the results will be used.
    base::failure_domain near;
    /// Time until the pieces have to begin for the request to meet its objective; may be past.
    std::int64_t due_ms = 0;
    /// Time until the pieces are of no use.
    std::int64_t latest_ms = 0;
};

/// Answers `make_pieces`, one result for each piece.
struct pieces_made {
    std::vector<relay::piece_result> results;
};

/// Tells the daemon that schedules a worker pool that results are no longer needed.
struct release_pieces {
    base::service_name service;
    std::vector<std::string> handles;
};

/// The message was taken.
struct accepted {};

using frame = std::variant<state_request, state_reply, forward_request, wrong_incarnation, forward_reply,
                           make_pieces, pieces_made, release_pieces, accepted>;

} // namespace rattanbay::peer
