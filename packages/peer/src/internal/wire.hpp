#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/peer/datagram.hpp>
#include <rattanbay/peer/frame.hpp>

#include <msgpack.hpp>

#include <cstring>

/// msgpack adaptors of the message types. Each type is encoded as an array of its fields. New fields must be
/// appended, so that daemons of different versions can communicate.
namespace rattanbay::peer::internal {

/// Reports a value out of range with the exception that msgpack throws for type errors. The codec converts
/// it to an error value.
[[noreturn]] inline void throw_type_error() {
    throw msgpack::type_error();
}

/// Returns element `n` of an array object. Throws for a shorter array or another type.
inline const msgpack::object& array_element(const msgpack::object& from, std::uint32_t n) {
    if (from.type != msgpack::type::ARRAY || n >= from.via.array.size) {
        throw_type_error();
    }
    return from.via.array.ptr[n];
}

template <class Enum> Enum checked_enum_cast(std::uint8_t value, std::uint8_t count) {
    if (value >= count) {
        throw_type_error();
    }
    return static_cast<Enum>(value);
}

/// Packs `values` as an array.
template <class Stream, class... Values>
void pack_fields(msgpack::packer<Stream>& out, const Values&... values) {
    out.pack_array(sizeof...(values));
    (out.pack(values), ...);
}

/// Unpacks the first elements of an array into `values`; further elements are ignored.
template <class... Values> void unpack_fields(const msgpack::object& from, Values&... values) {
    std::uint32_t n = 0;
    (array_element(from, n++).convert(values), ...);
}

/// Unpacks element `n` of an array if it is there; daemons of earlier versions send fewer fields.
template <class Value>
void unpack_optional_field(const msgpack::object& from, std::uint32_t n, Value& value) {
    if (from.type == msgpack::type::ARRAY && from.via.array.size > n) {
        array_element(from, n).convert(value);
    }
}

/// Whole milliseconds.
inline std::int64_t to_ms(rattanbay::base::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Throws for times beyond a day, which no message has.
inline rattanbay::base::duration from_ms(std::int64_t value) {
    constexpr std::chrono::milliseconds max_time = std::chrono::hours(24);
    if (value > max_time.count() || value < -max_time.count()) {
        throw_type_error();
    }
    return std::chrono::milliseconds(value);
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
                wire::throw_type_error();
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
            wire::pack_fields(out, value.id, value.vm, value.failure_domain, value.peer_address,
                              value.caller_address, value.sequence, static_cast<std::uint8_t>(value.status),
                              value.draining, value.revision, value.load, value.ledger, value.ledger_window,
                              value.ledger_recorded, value.vm_list_change.number(),
                              value.vm_list_change.era(), value.processor_percent);
            return out;
        }
    };

    template <> struct convert<rattanbay::peer::member_record> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::peer::member_record& value) const {
            std::uint8_t status = 0;
            wire::unpack_fields(from, value.id, value.vm, value.failure_domain, value.peer_address,
                                value.caller_address, value.sequence, status, value.draining, value.revision,
                                value.load, value.ledger, value.ledger_window, value.ledger_recorded);
            value.status = wire::checked_enum_cast<rattanbay::peer::member_status>(status, 3);
            constexpr std::uint32_t vm_list_change_index = 13;
            std::uint64_t number = 0;
            std::uint64_t era = 0;
            wire::unpack_optional_field(from, vm_list_change_index, number);
            wire::unpack_optional_field(from, vm_list_change_index + 1, era);
            value.vm_list_change = rattanbay::object_api::store_revision(era, number);
            wire::unpack_optional_field(from, vm_list_change_index + 2, value.processor_percent);
            return from;
        }
    };

    template <> struct pack<rattanbay::object_api::vm> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::object_api::vm& value) const {
            const bool leaving = value.state == rattanbay::object_api::vm_state::leaving;
            wire::pack_fields(out, value.id, value.service, value.address, value.failure_domain, leaving,
                              value.slots, value.started_ms, value.cold_left_ms, value.software_version);
            return out;
        }
    };

    template <> struct convert<rattanbay::object_api::vm> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::object_api::vm& value) const {
            bool leaving = false;
            wire::unpack_fields(from, value.id, value.service, value.address, value.failure_domain, leaving,
                                value.slots);
            constexpr std::uint32_t started_ms_index = 6;
            wire::unpack_optional_field(from, started_ms_index, value.started_ms);
            wire::unpack_optional_field(from, started_ms_index + 1, value.cold_left_ms);
            wire::unpack_optional_field(from, started_ms_index + 2, value.software_version);
            value.state =
                leaving ? rattanbay::object_api::vm_state::leaving : rattanbay::object_api::vm_state::live;
            return from;
        }
    };

    template <> struct pack<rattanbay::object_api::evacuation_state> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out,
                                   const rattanbay::object_api::evacuation_state& value) const {
            const std::vector<rattanbay::base::failure_domain> domains(value.domains.begin(),
                                                                       value.domains.end());
            wire::pack_fields(out, value.version.era(), value.version.number(), domains);
            return out;
        }
    };

    template <> struct convert<rattanbay::object_api::evacuation_state> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::object_api::evacuation_state& value) const {
            std::uint64_t era = 0;
            std::uint64_t number = 0;
            std::vector<rattanbay::base::failure_domain> domains;
            wire::unpack_fields(from, era, number, domains);
            value.version = rattanbay::object_api::store_revision(era, number);
            value.domains = {domains.begin(), domains.end()};
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::part_record> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::part_record& value) const {
            wire::pack_fields(out, value.part, value.crashes, wire::to_ms(value.since_last_seen),
                              wire::to_ms(value.since_last_counted), value.quarantined, value.trials,
                              wire::to_ms(value.time_to_trial));
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::part_record> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::part_record& value) const {
            std::int64_t since_last_seen = 0;
            std::int64_t since_last_counted = 0;
            std::int64_t time_to_trial = 0;
            wire::unpack_fields(from, value.part, value.crashes, since_last_seen, since_last_counted,
                                value.quarantined, value.trials, time_to_trial);
            value.since_last_seen = wire::from_ms(since_last_seen);
            value.since_last_counted = wire::from_ms(since_last_counted);
            value.time_to_trial = wire::from_ms(time_to_trial);
            return from;
        }
    };

    template <> struct pack<rattanbay::base::hash128> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::base::hash128& value) const {
            wire::pack_fields(out, value.high, value.low);
            return out;
        }
    };

    template <> struct convert<rattanbay::base::hash128> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::base::hash128& value) const {
            wire::unpack_fields(from, value.high, value.low);
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::stream_record> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::stream_record& value) const {
            wire::pack_fields(out, value.stream, value.origin.service, value.origin.software_version,
                              wire::to_ms(value.time_left));
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::stream_record> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::stream_record& value) const {
            std::int64_t time_left = 0;
            wire::unpack_fields(from, value.stream, value.origin.service, value.origin.software_version,
                                time_left);
            value.time_left = wire::from_ms(time_left);
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::version_record> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::version_record& value) const {
            wire::pack_fields(out, value.service, value.software_version, wire::to_ms(value.time_left));
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::version_record> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::version_record& value) const {
            std::int64_t time_left = 0;
            wire::unpack_fields(from, value.service, value.software_version, time_left);
            value.time_left = wire::from_ms(time_left);
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::stage_order> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::stage_order& value) const {
            wire::pack_fields(out, value.request, value.stage, value.pieces, value.key, value.inputs,
                              value.result_bytes, value.urgency, value.input_bytes);
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::stage_order> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::stage_order& value) const {
            wire::unpack_fields(from, value.request, value.stage, value.pieces, value.key, value.inputs,
                                value.result_bytes, value.urgency, value.input_bytes);
            return from;
        }
    };

    template <> struct pack<rattanbay::relay::piece_result> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const rattanbay::relay::piece_result& value) const {
            wire::pack_fields(out, value.handle.value_or(std::string()),
                              static_cast<std::uint8_t>(value.failure));
            return out;
        }
    };

    template <> struct convert<rattanbay::relay::piece_result> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::relay::piece_result& value) const {
            constexpr std::uint8_t failure_count = 5;
            std::string handle;
            std::uint8_t failure = 0;
            wire::unpack_fields(from, handle, failure);
            value.failure = wire::checked_enum_cast<rattanbay::relay::piece_failure>(failure, failure_count);
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
                wire::pack_fields(out, true, answered->status, answered->body);
                return out;
            }
            const rattanbay::base::problem& problem = std::get<rattanbay::base::problem>(value);
            wire::pack_fields(out, false, std::string(rattanbay::base::to_name(problem.kind)),
                              std::string(rattanbay::base::to_name(problem.outcome)), problem.detail,
                              problem.retry_key_prefix.value_or(std::string()));
            return out;
        }
    };

    template <> struct convert<rattanbay::ledger::reply> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          rattanbay::ledger::reply& value) const {
            bool answered = false;
            wire::unpack_fields(from, answered);
            if (answered) {
                rattanbay::ledger::response answer;
                wire::unpack_fields(from, answered, answer.status, answer.body);
                value = answer;
                return from;
            }
            std::string kind;
            std::string outcome;
            std::string prefix;
            rattanbay::base::problem problem;
            wire::unpack_fields(from, answered, kind, outcome, problem.detail, prefix);
            // An unknown kind comes from a newer version; the outcome must still be reported.
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
