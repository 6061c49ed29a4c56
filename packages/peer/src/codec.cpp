#include "internal/wire.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/peer/codec.hpp>

#include <array>

namespace rattanbay::peer {

namespace {

constexpr std::size_t mac_bytes = 8;

/// Limits for decoded containers, so that a short message cannot cause a large allocation.
const msgpack::unpack_limit unpack_limits(100'000, 0, max_frame_bytes, 64, 0, 8);

std::string compute_mac(std::string_view body, std::string_view cluster_secret) {
    std::uint64_t code = base::hmac64(cluster_secret, body);
    std::string bytes(mac_bytes, '\0');
    for (std::size_t n = mac_bytes; n > 0; --n) {
        bytes[n - 1] = static_cast<char>(code);
        code >>= 8U;
    }
    return bytes;
}

/// Packs the fields of a message in wire order.
template <class Packer> struct field_packer {
    Packer& out;

    void operator()(const ping& message) const {
        internal::pack_fields(out, message.nonce, message.sender, message.updates);
    }

    void operator()(const ack& message) const {
        internal::pack_fields(out, message.nonce, message.sender, message.updates);
    }

    void operator()(const indirect_ping& message) const {
        internal::pack_fields(out, message.nonce, message.sender, message.updates, message.target);
    }

    void operator()(const crash_report& message) const {
        internal::pack_fields(out, message.endpoint, message.parts, message.id);
    }

    void operator()(const limit_report& message) const {
        internal::pack_fields(out, message.endpoint, message.requests_per_second);
    }

    void operator()(const cold_report& message) const {
        internal::pack_fields(out, message.endpoints, message.left_ms);
    }

    void operator()(const part_clearance& message) const { internal::pack_fields(out, message.parts); }

    void operator()(const vm_list_notice& message) const {
        const object_api::store_revision& after = message.update.after;
        const object_api::vm_changes& changes = message.update.changes;
        internal::pack_fields(out, after.era(), after.number(), changes.version.era(),
                              changes.version.number(), changes.newest_change.era(),
                              changes.newest_change.number(), changes.changed, changes.removed);
    }

    void operator()(const evacuation_notice& message) const { internal::pack_fields(out, message.state); }

    void operator()(const part_notice& message) const { internal::pack_fields(out, message.records); }

    void operator()(const speed_samples& message) const { internal::pack_fields(out, message.samples); }

    void operator()(const speed_announcement& message) const {
        internal::pack_fields(out, message.pass_on, message.engines);
    }

    void operator()(const stream_notice& message) const { internal::pack_fields(out, message.records); }

    void operator()(const state_request& message) const {
        internal::pack_fields(out, message.revision, message.accepts_compression, message.document_only);
    }

    void operator()(const state_reply& message) const {
        internal::pack_fields(out, message.document, message.vms.version.number(), message.vms.vms,
                              message.members, message.quarantined_parts, message.compressed_document,
                              message.vms.version.era(), message.evacuations, message.part_records,
                              message.versions);
    }

    void operator()(const forward_request& message) const {
        internal::pack_fields(out, message.request, message.account, message.key, message.target,
                              message.body, message.time_left_ms);
    }

    void operator()(const wrong_incarnation&) const { internal::pack_fields(out); }

    void operator()(const forward_reply& message) const { internal::pack_fields(out, message.reply); }

    void operator()(const make_pieces& message) const {
        internal::pack_fields(out, message.service, message.order, message.near, message.due_ms,
                              message.latest_ms, message.forwards);
    }

    void operator()(const pieces_made& message) const { internal::pack_fields(out, message.results); }

    void operator()(const release_pieces& message) const {
        internal::pack_fields(out, message.service, message.handles);
    }

    void operator()(const accepted&) const { internal::pack_fields(out); }

    void operator()(const stream_origin_request& message) const {
        internal::pack_fields(out, message.stream, message.service);
    }

    void operator()(const stream_origin_reply& message) const {
        internal::pack_fields(out, message.record, message.versions);
    }
};

/// Unpacks the fields of a message in wire order.
struct field_unpacker {
    const msgpack::object& from;

    void operator()(ping& message) const {
        internal::unpack_fields(from, message.nonce, message.sender, message.updates);
    }

    void operator()(ack& message) const {
        internal::unpack_fields(from, message.nonce, message.sender, message.updates);
    }

    void operator()(indirect_ping& message) const {
        internal::unpack_fields(from, message.nonce, message.sender, message.updates, message.target);
    }

    void operator()(crash_report& message) const {
        internal::unpack_fields(from, message.endpoint, message.parts);
        internal::unpack_optional_field(from, 2, message.id);
    }

    void operator()(limit_report& message) const {
        internal::unpack_fields(from, message.endpoint, message.requests_per_second);
    }

    void operator()(cold_report& message) const {
        internal::unpack_fields(from, message.endpoints, message.left_ms);
    }

    void operator()(part_clearance& message) const { internal::unpack_fields(from, message.parts); }

    void operator()(vm_list_notice& message) const {
        object_api::vm_changes& changes = message.update.changes;
        std::array<std::uint64_t, 3> eras{};
        std::array<std::uint64_t, 3> numbers{};
        internal::unpack_fields(from, eras[0], numbers[0], eras[1], numbers[1], eras[2], numbers[2],
                                changes.changed, changes.removed);
        message.update.after = object_api::store_revision(eras[0], numbers[0]);
        changes.version = object_api::store_revision(eras[1], numbers[1]);
        changes.newest_change = object_api::store_revision(eras[2], numbers[2]);
    }

    void operator()(evacuation_notice& message) const { internal::unpack_fields(from, message.state); }

    void operator()(part_notice& message) const { internal::unpack_fields(from, message.records); }

    void operator()(speed_samples& message) const { internal::unpack_fields(from, message.samples); }

    void operator()(speed_announcement& message) const {
        internal::unpack_fields(from, message.pass_on, message.engines);
    }

    void operator()(stream_notice& message) const { internal::unpack_fields(from, message.records); }

    void operator()(state_request& message) const {
        internal::unpack_fields(from, message.revision);
        internal::unpack_optional_field(from, 1, message.accepts_compression);
        internal::unpack_optional_field(from, 2, message.document_only);
    }

    void operator()(state_reply& message) const {
        std::uint64_t list_number = 0;
        std::uint64_t list_era = 0;
        internal::unpack_fields(from, message.document, list_number, message.vms.vms, message.members);
        internal::unpack_optional_field(from, 4, message.quarantined_parts);
        internal::unpack_optional_field(from, 5, message.compressed_document);
        internal::unpack_optional_field(from, 6, list_era);
        internal::unpack_optional_field(from, 7, message.evacuations);
        internal::unpack_optional_field(from, 8, message.part_records);
        internal::unpack_optional_field(from, 9, message.versions);
        message.vms.version = object_api::store_revision(list_era, list_number);
    }

    void operator()(forward_request& message) const {
        internal::unpack_fields(from, message.request, message.account, message.key, message.target,
                                message.body, message.time_left_ms);
    }

    void operator()(wrong_incarnation&) const {}

    void operator()(forward_reply& message) const { internal::unpack_fields(from, message.reply); }

    void operator()(make_pieces& message) const {
        internal::unpack_fields(from, message.service, message.order, message.near, message.due_ms,
                                message.latest_ms);
        constexpr std::uint32_t forwards_index = 5;
        internal::unpack_optional_field(from, forwards_index, message.forwards);
    }

    void operator()(pieces_made& message) const { internal::unpack_fields(from, message.results); }

    void operator()(release_pieces& message) const {
        internal::unpack_fields(from, message.service, message.handles);
    }

    void operator()(accepted&) const {}

    void operator()(stream_origin_request& message) const {
        internal::unpack_fields(from, message.stream, message.service);
    }

    void operator()(stream_origin_reply& message) const {
        internal::unpack_fields(from, message.record, message.versions);
    }
};

/// Encodes the authentication code, followed by an array of the message's type index and its fields.
template <class Message> std::string encode_body(const Message& message, std::string_view cluster_secret) {
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(message.index()));
    std::visit(field_packer<msgpack::packer<msgpack::sbuffer>>{out}, message);
    const std::string_view body(buf.data(), buf.size());
    return compute_mac(body, cluster_secret) + std::string(body);
}

/// Sets `message` to a default value of the alternative with this index.
template <class Message, std::size_t N = 0> void emplace_alternative(Message& message, std::uint32_t index) {
    if constexpr (N < std::variant_size_v<Message>) {
        if (index == N) {
            message.template emplace<N>();
        } else {
            emplace_alternative<Message, N + 1>(message, index);
        }
    } else {
        internal::throw_type_error();
    }
}

template <class Message>
base::result<Message> decode_body(std::string_view bytes, std::string_view cluster_secret) {
    if (bytes.size() < mac_bytes) {
        return base::fail(base::error_code::protocol_violation,
                          "the message is shorter than its authentication code");
    }
    const std::string_view body = bytes.substr(mac_bytes);
    if (compute_mac(body, cluster_secret) != bytes.substr(0, mac_bytes)) {
        return base::fail(base::error_code::permission_denied, "the message's authentication code is wrong");
    }
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), nullptr, nullptr, unpack_limits);
        std::uint32_t index = 0;
        internal::unpack_fields(handle.get(), index);
        Message message;
        emplace_alternative(message, index);
        std::visit(field_unpacker{internal::array_element(handle.get(), 1)}, message);
        return message;
    } catch (const std::exception& error) {
        return base::fail(base::error_code::protocol_violation,
                          std::string("the message is malformed: ") + error.what());
    }
}

} // namespace

std::string encode(const datagram& message, std::string_view cluster_secret) {
    return encode_body(message, cluster_secret);
}

base::result<datagram> decode_datagram(std::string_view bytes, std::string_view cluster_secret) {
    return decode_body<datagram>(bytes, cluster_secret);
}

std::string encode(const frame& message, std::string_view cluster_secret) {
    const std::string body = encode_body(message, cluster_secret);
    std::string out(frame_header_bytes, '\0');
    std::size_t size = body.size();
    for (std::size_t n = frame_header_bytes; n > 0; --n) {
        out[n - 1] = static_cast<char>(size);
        size >>= 8U;
    }
    return out + body;
}

base::result<std::size_t> frame_size(std::string_view header) {
    assert(header.size() == frame_header_bytes);
    std::size_t size = 0;
    for (const char byte : header) {
        size = (size << 8U) | static_cast<std::uint8_t>(byte);
    }
    if (size > max_frame_bytes) {
        return base::fail(base::error_code::protocol_violation,
                          "a frame of " + std::to_string(size) + " bytes is too large");
    }
    return size;
}

base::result<frame> decode_frame(std::string_view bytes, std::string_view cluster_secret) {
    return decode_body<frame>(bytes, cluster_secret);
}

} // namespace rattanbay::peer
