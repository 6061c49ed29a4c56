#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/object_api/evacuated_domains.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/peer/member_record.hpp>
#include <rattanbay/relay/messages.hpp>
#include <rattanbay/relay/part_record.hpp>
#include <rattanbay/relay/stream_record.hpp>
#include <rattanbay/relay/version_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::peer {

/// Requests the state that a starting daemon needs while the platform is unavailable.
struct state_request {
    /// Revision of the sender. The reply contains a document only if its revision is higher.
    std::uint64_t revision = 0;
    /// Whether the sender reads `state_reply::compressed_document`.
    bool accepts_compression = false;
    /// Whether the reply may leave out all but the document.
    bool document_only = false;
};

/// Reply to a `state_request`.
struct state_reply {
    /// Text of the document in force; empty if the requester's is at least as new.
    std::string document;
    object_api::vm_list vms;
    std::vector<member_record> members;
    /// Prompt parts whose requests are kept away from endpoints.
    std::vector<std::uint64_t> quarantined_parts = {};
    /// Text of the document as a raw deflate stream, in place of `document`, if the requester accepts it.
    std::string compressed_document = {};
    /// What is known of suspected and quarantined parts. Daemons of earlier versions send
    /// `quarantined_parts` only.
    std::vector<relay::part_record> part_records = {};
    /// Failure domains that are evacuated; the version is unset if the sender does not know them.
    object_api::evacuation_state evacuations = {};
    /// Software versions that may have begun a stream that is still alive. Daemons of earlier versions send
    /// none.
    std::vector<relay::version_record> versions = {};
};

/// Forwards a request with an idempotency key to the incarnation named by the key.
struct forward_request {
    base::request_id request;
    base::account_id account;
    std::string key;
    /// Path and body of the request as sent by the caller.
    std::string target;
    std::string body;
    /// Time until the request's deadline.
    std::uint64_t time_left_ms = 0;
};

/// Reply of an incarnation that is not the one named by the key. It neither ran nor stored the request.
struct wrong_incarnation {};

/// Reply of the owner to a `forward_request`.
struct forward_reply {
    ledger::reply reply;
};

/// Asks the daemon that schedules a worker pool for all pieces of one stage. Times are relative because the
/// clocks of daemons differ.
struct make_pieces {
    base::service_name service;
    relay::stage_order order;
    /// Failure domain in which the results will be used.
    base::failure_domain near;
    /// Time until the pieces must start for the request to meet its objective; negative if it has passed.
    std::int64_t due_ms = 0;
    /// Time until the pieces become useless.
    std::int64_t latest_ms = 0;
    /// Number of daemons that passed the stage on because they do not schedule the pool.
    std::uint32_t forwards = 0;
};

/// Reply to `make_pieces` with one result per piece.
struct pieces_made {
    std::vector<relay::piece_result> results;
};

/// Tells the daemon that schedules a worker pool that results are no longer needed.
struct release_pieces {
    base::service_name service;
    std::vector<std::string> handles;
};

/// Acknowledges a message that has no other reply.
struct accepted {};

/// Asks a daemon where a stream began that a client takes up again.
struct stream_origin_request {
    /// Key of the stream in `relay::stream_origins`.
    base::hash128 stream;
    base::service_name service;
};

/// Reply to a `stream_origin_request`.
struct stream_origin_reply {
    /// Nothing if the sender does not know the stream.
    std::optional<relay::stream_record> record;
    /// Active versions of the service.
    std::vector<relay::version_record> versions;
};

using frame =
    std::variant<state_request, state_reply, forward_request, wrong_incarnation, forward_reply, make_pieces,
                 pieces_made, release_pieces, accepted, stream_origin_request, stream_origin_reply>;

} // namespace rattanbay::peer
