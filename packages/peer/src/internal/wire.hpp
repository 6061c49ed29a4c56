#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/peer/datagram.hpp>
#include <rattanbay/peer/frame.hpp>

#include <msgpack.hpp>

#include <cstring>

/// Adaptors that give each message type its msgpack form: an array of its members. Members are
/// only added at the end, so that daemons of two versions understand each other.
namespace rattanbay::peer::internal {

/// Thrown inside the codec for a value out of its range and turned into an error value there,
/// as msgpack reports type errors the same way.
[[noreturn]] inline void reject() {
    throw msgpack::type_error();
}

/// Element `n` of an array object; rejects a shorter array or another type.
inline const msgpack::object& element(const msgpack::object& from, std::uint32_t n) {
    if (from.type != msgpack::type::ARRAY || n >= from.via.array.size) {
        reject();
    }
    return from.via.array.ptr[n];
}

template <class Enum> Enum to_enum(std::uint8_t value, std::uint8_t count) {
    if (value >= count) {
        reject();
    }
    return static_cast<Enum>(value);
}

/// Packs the values as an array.
template <class Stream, class... Values>
void pack_all(msgpack::packer<Stream>& out, const Values&... values) {
    out.pack_array(sizeof...(values));
    (out.pack(values), ...);
}

/// Reads the first elements of an array into the values.
template <class... Values> void read_all(const msgpack::object& from, Values&... values) {
    std::uint32_t n = 0;
    (element(from, n++).convert(values), ...);
}

} // namespace rattanbay::peer::internal

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    namespace wire = rattanbay::peer::internal;

    template <class Tag> struct pack<rattanbay::base::identifier<Tag>> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::base::identifier<Tag>& value) const {
            return out.pack(value.text());
        }
    };

    template <class Tag> struct convert<rattanbay::base::identifier<Tag>> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::base::identifier<Tag>& value) const {
            value = rattanbay::base::identifier<Tag>(from.as<std::string>());
            return from;
        }
    };

    template <> struct pack<rattanbay::base::incarnation> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::base::incarnation& value) const {
            out.pack_bin(static_cast<std::uint32_t>(value.bytes.size()));
            return out.pack_bin_body(reinterpret_cast<const char*>(value.bytes.data()),
                                     static_cast<std::uint32_t>(value.bytes.size()));
        }
    };

    template <> struct convert<rattanbay::base::incarnation> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::base::incarnation& value) const {
            if (from.type != type::BIN || from.via.bin.size != value.bytes.size()) {
                wire::reject();
            }
            std::memcpy(value.bytes.data(), from.via.bin.ptr, value.bytes.size());
            return from;
        }
    };

    template <> struct pack<rattanbay::base::address> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::base::address& value) const {
            std::uint64_t packed = value.port;
            for (const std::uint8_t octet : value.ip) {
                packed = (packed << 8U) | octet;
            }
            return out.pack(packed);
        }
    };

    template <> struct convert<rattanbay::base::address> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::base::address& value) const {
            std::uint64_t packed = from.as<std::uint64_t>();
            for (std::size_t n = value.ip.size(); n > 0; --n) {
                value.ip[n - 1] = static_cast<std::uint8_t>(packed);
                packed >>= 8U;
            }
            value.port = static_cast<std::uint16_t>(packed);
            return from;
        }
    };

    template <> struct pack<rattanbay::peer::member_record> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::peer::member_record& value) const {
            wire::pack_all(out, value.id, value.vm, value.failure_domain, value.peer_address,
                           value.caller_address, value.sequence, static_cast<std::uint8_t>(value.status),
                           value.draining, value.revision, value.load, value.ledger, value.ledger_window,
                           value.ledger_recorded);
            return out;
        }
    };

    template <> struct convert<rattanbay::peer::member_record> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::peer::member_record& value) const {
            std::uint8_t status = 0;
            wire::read_all(from, value.id, value.vm, value.failure_domain, value.peer_address,
                           value.caller_address, value.sequence, status, value.draining, value.revision,
                           value.load, value.ledger, value.ledger_window, value.ledger_recorded);
            value.status = wire::to_enum<rattanbay::peer::member_status>(status, 3);
            return from;
        }
    };

    template <> struct pack<rattanbay::object_api::vm> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::object_api::vm& value) const {
            const bool leaving = value.state == rattanbay::object_api::vm_state::leaving;
            wire::pack_all(out, value.id, value.service, value.address, value.failure_domain, leaving,
                           value.slots);
            return out;
        }
    };

    template <> struct convert<rattanbay::object_api::vm> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::object_api::vm& value) const {
            bool leaving = false;
            wire::read_all(from, value.id, value.service, value.address, value.failure_domain, leaving,
                           value.slots);
            value.state =
                leaving ? rattanbay::object_api::vm_state::leaving : rattanbay::object_api::vm_state::live;
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::stage_order> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::stage_order& value) const {
            wire::pack_all(out, value.request, value.stage, value.pieces, value.key, value.inputs,
                           value.result_bytes, value.urgency, value.input_bytes);
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::stage_order> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::stage_order& value) const {
            wire::read_all(from, value.request, value.stage, value.pieces, value.key, value.inputs,
                           value.result_bytes, value.urgency, value.input_bytes);
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::piece_result> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::piece_result& value) const {
            wire::pack_all(out, value.handle.value_or(std::string()),
                           static_cast<std::uint8_t>(value.failure));
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::piece_result> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::piece_result& value) const {
            constexpr std::uint8_t failures = 4;
            std::string handle;
            std::uint8_t failure = 0;
            wire::read_all(from, handle, failure);
            value.failure = wire::to_enum<rattanbay::relay::piece_failure>(failure, failures);
            if (!handle.empty()) {
                value.handle = std::move(handle);
            }
            return from;
        }
    };

    template <> struct pack<rattanbay::ledger::reply> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::ledger::reply& value) const {
            if (const rattanbay::ledger::response* answered =
                    std::get_if<rattanbay::ledger::response>(&value)) {
                wire::pack_all(out, true, answered->status, answered->body);
                return out;
            }
            const rattanbay::base::problem& problem = std::get<rattanbay::base::problem>(value);
            wire::pack_all(out, false, std::string(rattanbay::base::to_name(problem.kind)),
                           std::string(rattanbay::base::to_name(problem.outcome)), problem.detail,
                           problem.retry_key_prefix.value_or(std::string()));
            return out;
        }
    };

    template <> struct convert<rattanbay::ledger::reply> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::ledger::reply& value) const {
            bool answered = false;
            wire::read_all(from, answered);
            if (answered) {
                rattanbay::ledger::response answer;
                wire::read_all(from, answered, answer.status, answer.body);
                value = answer;
                return from;
            }
            std::string kind;
            std::string outcome;
            std::string prefix;
            rattanbay::base::problem problem;
            wire::read_all(from, answered, kind, outcome, problem.detail, prefix);
            // An unknown kind comes from a newer version; its outcome still has to be passed on.
            problem.kind = rattanbay::base::from_name<rattanbay::base::problem_kind>(kind).value_or(
                rattanbay::base::problem_kind::internal_error);
            problem.outcome = rattanbay::base::from_name<rattanbay::base::outcome>(outcome).value_or(
                rattanbay::base::outcome::unknown);
            if (!prefix.empty()) {
                problem.retry_key_prefix = prefix;
            }
            value = problem;
            return from;
        }
    };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
