#include "internal/wire.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/peer.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;
namespace peer = rattanbay::peer;
namespace object_api = rattanbay::object_api;
namespace relay = rattanbay::relay;

namespace {

constexpr const char* secret = "0123456789abcdef";
constexpr std::size_t mac_bytes = 8;

peer::member_record sample_record(std::uint64_t seed) {
    base::random_source random(seed);
    peer::member_record record;
    record.id = base::incarnation::generate(random);
    record.vm = base::vm_id("entry-1");
    record.failure_domain = base::failure_domain("a");
    record.peer_address = base::address{{127, 0, 1, 1}, 7000};
    record.caller_address = base::address{{127, 0, 1, 1}, 8080};
    record.sequence = 5;
    record.status = peer::member_status::suspect;
    record.draining = true;
    record.revision = 12;
    record.load = 3;
    record.ledger = base::incarnation::generate(random);
    record.ledger_window = 77;
    record.ledger_recorded = true;
    record.vm_list_change = {2, 31};
    record.processor_percent = 12;
    return record;
}

object_api::vm sample_vm() {
    object_api::vm out;
    out.id = base::vm_id("e1");
    out.service = base::service_name("s");
    out.address = {{127, 0, 0, 1}, 80};
    out.failure_domain = base::failure_domain("b");
    out.state = object_api::vm_state::leaving;
    out.slots = 4;
    out.started_ms = 1234567890123;
    out.cold_left_ms = 2500;
    out.software_version = "2.1.0";
    return out;
}

relay::part_record sample_part() {
    return {~0ULL, 3, std::chrono::seconds(4), std::chrono::seconds(5), true, 2, -std::chrono::seconds(6)};
}

relay::stream_record sample_stream() {
    return {{~0ULL, 7}, {base::service_name("chat"), "2.1"}, std::chrono::seconds(12)};
}

relay::version_record sample_version() {
    return {base::service_name("chat"), "2.0", std::chrono::seconds(34)};
}

/// Returns the body of a message with its authentication code.
std::string authenticated(std::string_view body) {
    std::uint64_t code = base::hmac64(secret, body);
    std::string out(mac_bytes, '\0');
    for (std::size_t n = mac_bytes; n > 0; --n) {
        out[n - 1] = static_cast<char>(code);
        code >>= 8U;
    }
    return out + std::string(body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

// Daemons of earlier versions send records without the processor capacity, the era of the VM list or its
// position.
BOOST_AUTO_TEST_CASE(records_of_earlier_versions_are_read) {
    msgpack::sbuffer buf;
    msgpack::pack(buf, sample_record(1));
    const msgpack::object_handle handle = msgpack::unpack(buf.data(), buf.size());
    msgpack::object packed = handle.get();
    peer::member_record expected = sample_record(1);
    packed.via.array.size -= 1;
    expected.processor_percent = 0;
    BOOST_CHECK(packed.as<peer::member_record>() == expected);
    packed.via.array.size -= 1;
    expected.vm_list_change = {0, 31};
    BOOST_CHECK(packed.as<peer::member_record>() == expected);
    packed.via.array.size -= 1;
    expected.vm_list_change = object_api::store_revision();
    BOOST_CHECK(packed.as<peer::member_record>() == expected);
}

// Guards against a field of a message being lost or swapped during encoding.
// Guards against VM lists that daemons of another version cannot read. Earlier versions send entries without
// the software version, the cold time or the start, and read the first fields of ours by their position.
BOOST_AUTO_TEST_CASE(vm_entries_of_other_versions_are_read) {
    object_api::vm expected = sample_vm();
    msgpack::sbuffer buf;
    msgpack::pack(buf, expected);
    const msgpack::object_handle handle = msgpack::unpack(buf.data(), buf.size());
    msgpack::object packed = handle.get();
    BOOST_CHECK(packed.as<object_api::vm>() == expected);
    BOOST_TEST(packed.via.array.size == 9U);
    BOOST_TEST(packed.via.array.ptr[6].as<std::uint64_t>() == expected.started_ms);
    BOOST_TEST(packed.via.array.ptr[7].as<std::uint64_t>() == expected.cold_left_ms);
    packed.via.array.size -= 1;
    expected.software_version.clear();
    BOOST_CHECK(packed.as<object_api::vm>() == expected);
    packed.via.array.size -= 1;
    expected.cold_left_ms = 0;
    BOOST_CHECK(packed.as<object_api::vm>() == expected);
    packed.via.array.size -= 1;
    expected.started_ms = 0;
    BOOST_CHECK(packed.as<object_api::vm>() == expected);
}

BOOST_AUTO_TEST_CASE(messages_survive_the_wire) {
    const peer::datagram sent =
        peer::indirect_ping{9, {{127, 0, 1, 2}, 7000}, sample_record(1), {sample_record(2)}};
    const base::result<peer::datagram> received = peer::decode_datagram(peer::encode(sent, secret), secret);
    BOOST_REQUIRE(received.has_value());
    const peer::indirect_ping& message = std::get<peer::indirect_ping>(*received);
    BOOST_TEST(message.nonce == 9U);
    BOOST_CHECK(message.sender == sample_record(1));
    BOOST_CHECK(message.updates == std::vector<peer::member_record>{sample_record(2)});
    BOOST_CHECK((message.target == base::address{{127, 0, 1, 2}, 7000}));

    const base::problem problem{base::problem_kind::record_unavailable, base::outcome::not_run, "why",
                                "rb1-u"};
    const std::string bytes = peer::encode(peer::frame(peer::forward_reply{problem}), secret);
    BOOST_TEST(peer::frame_size(bytes.substr(0, 4)).value() == bytes.size() - 4);
    const base::result<peer::frame> frame = peer::decode_frame(bytes.substr(4), secret);
    BOOST_REQUIRE(frame.has_value());
    BOOST_CHECK(std::get<peer::forward_reply>(*frame).reply == ledger::reply(problem));

    const peer::state_reply state{"{}",
                                  {{2, 3},
                                   {object_api::vm{base::vm_id("e"),
                                                   base::service_name("s"),
                                                   {{127, 0, 0, 1}, 80},
                                                   base::failure_domain("b"),
                                                   object_api::vm_state::leaving},
                                    sample_vm()}},
                                  {sample_record(4)},
                                  {11, 12},
                                  "deflated",
                                  {sample_part()}};
    const base::result<peer::frame> copy =
        peer::decode_frame(peer::encode(peer::frame(state), secret).substr(4), secret);
    BOOST_REQUIRE(copy.has_value());
    BOOST_CHECK(std::get<peer::state_reply>(*copy).vms == state.vms);
    BOOST_CHECK(std::get<peer::state_reply>(*copy).members == state.members);
    BOOST_CHECK(std::get<peer::state_reply>(*copy).quarantined_parts == state.quarantined_parts);
    BOOST_CHECK(std::get<peer::state_reply>(*copy).compressed_document == state.compressed_document);
    BOOST_CHECK(std::get<peer::state_reply>(*copy).part_records == state.part_records);
}

// Guards against a schedule of trials that changes on its way, and against one that is fragmented.
BOOST_AUTO_TEST_CASE(what_is_known_of_parts_survives_the_wire) {
    const peer::part_notice notice{std::vector<relay::part_record>(16, sample_part())};
    const std::string bytes = peer::encode(peer::datagram(notice), secret);
    BOOST_TEST(bytes.size() <= peer::max_datagram_bytes);
    const base::result<peer::datagram> copy = peer::decode_datagram(bytes, secret);
    BOOST_REQUIRE(copy.has_value());
    BOOST_CHECK(std::get<peer::part_notice>(*copy).records == notice.records);
}

// Guards against a probe that would be fragmented and therefore lost more often.
BOOST_AUTO_TEST_CASE(a_datagram_with_six_updates_fits_one_packet) {
    peer::ping message{1, sample_record(1), {}};
    message.updates.assign(6, sample_record(2));
    BOOST_TEST(peer::encode(peer::datagram(message), secret).size() <= peer::max_datagram_bytes);
}

// Guards against forged, truncated or random bytes that crash the process or are accepted as a message.
BOOST_AUTO_TEST_CASE(forged_and_damaged_messages_are_errors) {
    const std::string good = peer::encode(peer::datagram(peer::ping{1, sample_record(1), {}}), secret);
    BOOST_CHECK(peer::decode_datagram(good, "another secret..").error().code ==
                base::error_code::permission_denied);
    base::random_source random(3);
    for (std::size_t n = 0; n < good.size(); ++n) {
        std::string damaged = good;
        damaged[n] = static_cast<char>(damaged[n] ^ static_cast<char>(1 + random.below(255)));
        BOOST_TEST(!peer::decode_datagram(damaged, secret).has_value());
        BOOST_TEST(!peer::decode_datagram(good.substr(0, n), secret).has_value());
    }
    // Authentic bytes with an unknown version or wrong types are malformed, not fatal.
    const std::string frame =
        peer::encode(peer::frame(peer::forward_reply{ledger::response{200, "x"}}), secret);
    BOOST_TEST(!peer::decode_datagram(frame.substr(4), secret).has_value());
}

// Guards against reports whose repetition cannot be recognised, and against a lost end of a limit.
BOOST_AUTO_TEST_CASE(reports_about_endpoints_survive_the_wire) {
    const peer::crash_report crash{base::endpoint_id("e1"), {1, 2}, 77};
    const base::result<peer::datagram> first =
        peer::decode_datagram(peer::encode(peer::datagram(crash), secret), secret);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(std::get<peer::crash_report>(*first).id == 77U);
    for (const std::optional<double> limit : {std::optional<double>(1.5), std::optional<double>()}) {
        const peer::limit_report sent{base::endpoint_id("e1"), limit};
        const base::result<peer::datagram> read =
            peer::decode_datagram(peer::encode(peer::datagram(sent), secret), secret);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(std::get<peer::limit_report>(*read).endpoint.text() == "e1");
        BOOST_CHECK(std::get<peer::limit_report>(*read).requests_per_second == limit);
    }
}

// Guards against a daemon that takes over an evacuation under another version, or loses a domain of it.
BOOST_AUTO_TEST_CASE(evacuations_survive_the_wire) {
    const object_api::evacuation_state state{{3, 41}, {base::failure_domain("a"), base::failure_domain("c")}};
    const base::result<peer::datagram> notice =
        peer::decode_datagram(peer::encode(peer::datagram(peer::evacuation_notice{state}), secret), secret);
    BOOST_REQUIRE(notice.has_value());
    BOOST_CHECK(std::get<peer::evacuation_notice>(*notice).state == state);
    peer::state_reply reply;
    reply.evacuations = state;
    const std::string frame = peer::encode(peer::frame(reply), secret);
    const base::result<peer::frame> read =
        peer::decode_frame(std::string_view(frame).substr(peer::frame_header_bytes), secret);
    BOOST_REQUIRE(read.has_value());
    BOOST_CHECK(std::get<peer::state_reply>(*read).evacuations == state);
}

// Guards against a cold endpoint that the others do not hear of.
BOOST_AUTO_TEST_CASE(reports_about_cold_endpoints_survive_the_wire) {
    const peer::cold_report sent{{base::endpoint_id("e1"), base::endpoint_id("e2")}, {3000, 70}};
    const base::result<peer::datagram> read =
        peer::decode_datagram(peer::encode(peer::datagram(sent), secret), secret);
    BOOST_REQUIRE(read.has_value());
    const peer::cold_report& report = std::get<peer::cold_report>(*read);
    BOOST_TEST(report.endpoints.at(1).text() == "e2");
    BOOST_TEST(report.left_ms == sent.left_ms, boost::test_tools::per_element());
}

// Guards against speeds of engines that are lost or swapped on the way.
BOOST_AUTO_TEST_CASE(speeds_of_engines_survive_the_wire) {
    const std::vector<std::uint32_t> engines{0, 77, 0xFFFFFFFF};
    const base::result<peer::datagram> samples =
        peer::decode_datagram(peer::encode(peer::datagram(peer::speed_samples{engines}), secret), secret);
    BOOST_REQUIRE(samples.has_value());
    BOOST_CHECK(std::get<peer::speed_samples>(*samples).samples == engines);
    const base::result<peer::datagram> announced = peer::decode_datagram(
        peer::encode(peer::datagram(peer::speed_announcement{true, engines}), secret), secret);
    BOOST_REQUIRE(announced.has_value());
    BOOST_TEST(std::get<peer::speed_announcement>(*announced).pass_on);
    BOOST_CHECK(std::get<peer::speed_announcement>(*announced).engines == engines);
}

// Guards against a stream that goes on at an endpoint of another version because a field was lost or swapped.
BOOST_AUTO_TEST_CASE(origins_of_streams_survive_the_wire) {
    const relay::stream_record record = sample_stream();
    const peer::stream_notice notice{{record, record}};
    const base::result<peer::datagram> told =
        peer::decode_datagram(peer::encode(peer::datagram(notice), secret), secret);
    BOOST_REQUIRE(told.has_value());
    BOOST_CHECK(std::get<peer::stream_notice>(*told).records == notice.records);

    const peer::stream_origin_request request{record.stream, record.origin.service};
    const base::result<peer::frame> asked =
        peer::decode_frame(peer::encode(peer::frame(request), secret).substr(4), secret);
    BOOST_REQUIRE(asked.has_value());
    BOOST_CHECK(std::get<peer::stream_origin_request>(*asked).stream == record.stream);
    BOOST_TEST(std::get<peer::stream_origin_request>(*asked).service.text() == "chat");

    for (const std::optional<relay::stream_record>& found :
         {std::optional<relay::stream_record>(record), std::optional<relay::stream_record>()}) {
        const peer::stream_origin_reply reply{found, {sample_version()}};
        const base::result<peer::frame> read =
            peer::decode_frame(peer::encode(peer::frame(reply), secret).substr(4), secret);
        BOOST_REQUIRE(read.has_value());
        BOOST_CHECK(std::get<peer::stream_origin_reply>(*read).record == found);
        BOOST_CHECK(std::get<peer::stream_origin_reply>(*read).versions == reply.versions);
    }
}

// Guards against a starting daemon that does not learn of a version, and against one that cannot read the
// state of a daemon of an earlier version, which sends no versions.
BOOST_AUTO_TEST_CASE(versions_of_services_survive_the_wire) {
    peer::state_reply reply;
    reply.members = {sample_record(4)};
    reply.versions = {sample_version()};
    const std::string bytes = peer::encode(peer::frame(reply), secret).substr(peer::frame_header_bytes);
    const base::result<peer::frame> read = peer::decode_frame(bytes, secret);
    BOOST_REQUIRE(read.has_value());
    BOOST_CHECK(std::get<peer::state_reply>(*read).versions == reply.versions);

    const msgpack::object_handle handle = msgpack::unpack(bytes.data() + mac_bytes, bytes.size() - mac_bytes);
    msgpack::object& fields = handle.get().via.array.ptr[1];
    BOOST_REQUIRE(fields.via.array.size == 10U);
    fields.via.array.size -= 1;
    msgpack::sbuffer packed;
    msgpack::pack(packed, handle.get());
    const std::string_view body(packed.data(), packed.size());
    const base::result<peer::frame> earlier = peer::decode_frame(authenticated(body), secret);
    BOOST_REQUIRE(earlier.has_value());
    BOOST_CHECK(std::get<peer::state_reply>(*earlier).members == reply.members);
    BOOST_TEST(std::get<peer::state_reply>(*earlier).versions.empty());
}

// Guards against a field of an update of the VM list being lost or swapped: a receiver would take its list
// for complete although a change is missing.
BOOST_AUTO_TEST_CASE(updates_of_the_vm_list_survive_the_wire) {
    peer::vm_list_notice sent;
    sent.update.after = {2, 31};
    sent.update.changes.version = {2, 40};
    sent.update.changes.newest_change = {2, 38};
    sent.update.changes.changed = {sample_vm()};
    sent.update.changes.removed = {base::vm_id("e2")};
    const base::result<peer::datagram> read =
        peer::decode_datagram(peer::encode(peer::datagram(sent), secret), secret);
    BOOST_REQUIRE(read.has_value());
    const object_api::vm_list_update& update = std::get<peer::vm_list_notice>(*read).update;
    BOOST_CHECK(update.after == sent.update.after);
    BOOST_CHECK(update.changes.version == sent.update.changes.version);
    BOOST_CHECK(update.changes.newest_change == sent.update.changes.newest_change);
    BOOST_CHECK(update.changes.changed == sent.update.changes.changed);
    BOOST_CHECK(update.changes.removed == sent.update.changes.removed);
}

// Guards against a field of the messages about pieces being lost or swapped during encoding.
BOOST_AUTO_TEST_CASE(messages_about_pieces_survive_the_wire) {
    peer::make_pieces sent;
    sent.service = base::service_name("board");
    sent.order = {base::request_id("r1"), 2, 3, "key", {"h1", "h2"}, 6000, 2, 9000};
    sent.near = base::failure_domain("b");
    sent.due_ms = -5;
    sent.latest_ms = 900;
    sent.forwards = 2;
    const std::string bytes = peer::encode(peer::frame(sent), secret);
    const base::result<peer::frame> frame = peer::decode_frame(bytes.substr(4), secret);
    BOOST_REQUIRE(frame.has_value());
    const peer::make_pieces& read = std::get<peer::make_pieces>(*frame);
    BOOST_TEST(read.service.text() == "board");
    BOOST_TEST(read.order.request.text() == "r1");
    BOOST_TEST(read.order.stage == 2U);
    BOOST_TEST(read.order.pieces == 3U);
    BOOST_TEST(read.order.key == "key");
    BOOST_TEST(read.order.inputs == sent.order.inputs, boost::test_tools::per_element());
    BOOST_TEST(read.order.result_bytes == 6000U);
    BOOST_TEST(read.order.urgency == 2);
    BOOST_TEST(read.order.input_bytes == 9000U);
    BOOST_TEST(read.near.text() == "b");
    BOOST_TEST(read.due_ms == -5);
    BOOST_TEST(read.latest_ms == 900);
    BOOST_TEST(read.forwards == 2U);

    const peer::pieces_made made{
        {{"h3", relay::piece_failure::failed}, {std::nullopt, relay::piece_failure::input_missing}}};
    const std::string answer = peer::encode(peer::frame(made), secret);
    const base::result<peer::frame> results = peer::decode_frame(answer.substr(4), secret);
    BOOST_REQUIRE(results.has_value());
    const peer::pieces_made& back = std::get<peer::pieces_made>(*results);
    BOOST_REQUIRE(back.results.size() == 2U);
    BOOST_TEST(back.results[0].handle.value() == "h3");
    BOOST_TEST(!back.results[1].handle.has_value());
    BOOST_CHECK(back.results[1].failure == relay::piece_failure::input_missing);
}

BOOST_AUTO_TEST_SUITE_END()
