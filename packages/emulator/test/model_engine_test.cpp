#include "fixture.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Received part of a stream.
struct received_stream {
    std::string id;
    std::string text;
    std::vector<std::uint64_t> indices;
    std::size_t comments = 0;
    bool done = false;
    /// Whether the body was complete.
    bool complete = false;
};

received_stream parse_stream(const std::string& body) {
    received_stream out;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        out.comments += line.starts_with(":") ? 1U : 0U;
        if (!line.starts_with("data: ")) {
            continue;
        }
        const std::string data = line.substr(6);
        if (data == "[DONE]") {
            out.done = true;
            continue;
        }
        const json event = json::parse(data);
        out.id = event["id"];
        out.text += event["choices"][0]["text"].get<std::string>();
        out.indices.push_back(event["index_token"]);
    }
    return out;
}

/// Reads a stream until its end or until `limit` tokens were received, then closes the connection.
asio::awaitable<received_stream> read_stream(base::address address, http::request message,
                                             std::size_t limit) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    auto opened = co_await http::client_connection::connect(executor, address, 1s);
    http::client_connection& connection = **opened;
    co_await connection.send(std::move(message), 1s);
    co_await connection.read_header(2s);
    std::string body;
    received_stream out;
    while (out.indices.size() < limit) {
        const base::result<std::string> chunk = co_await connection.read_some(2s);
        out.complete = chunk.has_value() && chunk->empty();
        if (!chunk || chunk->empty()) {
            break;
        }
        body += *chunk;
        // A chunk can end within an event.
        out = parse_stream(body.substr(0, body.rfind("\n\n") + 2));
    }
    co_return out;
}

struct fixture : loopback {
    explicit fixture(std::size_t concurrency = 4) {
        options.address = free_address();
        options.concurrency = concurrency;
        options.timing = {5ms, 2ms, 0.05};
        options.load_report_age = 20ms;
        engine = emulator::model_engine::start(context, options).value();
    }

    static http::request completion(const std::string& prompt, std::uint64_t tokens, int priority = 0) {
        const json body{{"prompt", prompt},
                        {"stream", true},
                        {"max_tokens", tokens},
                        {"seed", 9},
                        {"priority", priority}};
        return http::request{"POST", "/v1/completions", {}, body.dump()};
    }

    std::future<received_stream> begin_stream(http::request message, std::size_t limit = 1000) {
        return asio::co_spawn(context, read_stream(options.address, std::move(message), limit),
                              asio::use_future);
    }

    emulator::engine_options options;
    std::unique_ptr<emulator::model_engine> engine;
};

struct single_slot_fixture : fixture {
    single_slot_fixture()
        : fixture(1) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(model_engine)

// Guards against text that tests cannot predict, streamed or not.
BOOST_FIXTURE_TEST_CASE(the_text_is_determined_by_prompt_and_seed, fixture) {
    const std::string expected = emulator::token_generator("a prompt", 9).text(12);
    const received_stream streamed = begin_stream(completion("a prompt", 12)).get();
    BOOST_TEST(streamed.text == expected);
    BOOST_TEST(streamed.done);
    BOOST_TEST(streamed.complete);
    const auto [status, body] =
        call(options.address, "POST", "/v1/completions", R"({"prompt":"a prompt","seed":9,"max_tokens":12})");
    BOOST_TEST(status == 200);
    BOOST_TEST(body["choices"][0]["text"] == expected);
    BOOST_TEST(body["usage"]["completion_tokens"] == 12);
    BOOST_TEST(emulator::token_generator("a prompt", 8).text(12) != expected);
    BOOST_TEST(expected.starts_with(emulator::identity_of("a prompt")));
}

// Guards against a resumed stream with a missing or repeated token.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_is_resumed, fixture) {
    const received_stream first = begin_stream(completion("a prompt", 30), 5).get();
    BOOST_REQUIRE(first.indices.size() >= 5);
    const std::uint64_t last = first.indices.back();
    const std::string target = "/v1/streams/" + first.id + "/resume";
    const std::string after = R"({"after":)" + std::to_string(last) + "}";
    const received_stream rest = begin_stream(http::request{"POST", target, {}, after}).get();
    BOOST_TEST(rest.indices.front() == last + 1);
    BOOST_TEST(first.text + rest.text == emulator::token_generator("a prompt", 9).text(30));
    BOOST_TEST(rest.done);
    BOOST_TEST(call(options.address, "POST", target, R"({"after":30})").first == 409);
    BOOST_TEST(call(options.address, "POST", "/v1/streams/other/resume", after).first == 404);
}

// Guards against a cancelled stream that ends like a complete one or keeps its slot.
BOOST_FIXTURE_TEST_CASE(a_cancelled_stream_is_not_whole, single_slot_fixture) {
    const std::string id = "cmpl-" + emulator::engine_id(options) + "-1";
    std::future<received_stream> running = begin_stream(completion("a prompt", 100000));
    while (call(options.address, "DELETE", "/v1/streams/" + id).first != 200) {
        std::this_thread::yield();
    }
    const received_stream ended = running.get();
    BOOST_TEST(!ended.done);
    BOOST_TEST(!ended.complete);
    BOOST_TEST(begin_stream(completion("next", 3)).get().done);
}

// Guards against queued streams without keep-alive comments and against a queue that ignores
// priorities.
BOOST_FIXTURE_TEST_CASE(waiting_streams_get_comments_and_start_by_priority, single_slot_fixture) {
    constexpr std::uint64_t endless = 100000;
    const auto wait_for_load = [this](const char* name, int count) {
        while (call(options.address, "GET", "/v1/load").second[name] != count) {
            std::this_thread::yield();
        }
    };
    std::future<received_stream> running = begin_stream(completion("running", endless));
    wait_for_load("running", 1);
    std::future<received_stream> low = begin_stream(completion("low", endless, 0));
    wait_for_load("waiting", 1);
    std::future<received_stream> high = begin_stream(completion("high", 2, 5));
    wait_for_load("waiting", 2);
    std::this_thread::sleep_for(300ms);
    const std::string name = emulator::engine_id(options);
    BOOST_TEST(call(options.address, "DELETE", "/v1/streams/cmpl-" + name + "-1").first == 200);
    const received_stream first = high.get();
    BOOST_TEST(first.done);
    BOOST_TEST(first.comments > 0);
    BOOST_CHECK(low.wait_for(0s) == std::future_status::timeout);
    BOOST_TEST(call(options.address, "DELETE", "/v1/streams/cmpl-" + name + "-2").first == 200);
    BOOST_TEST(!low.get().done);
    BOOST_TEST(!running.get().done);
}

// Guards against an engine that checks fencing tokens but accepts the order of a former, paused
// holder.
BOOST_FIXTURE_TEST_CASE(orders_are_checked_by_fencing_token, fixture) {
    const auto order = [this](std::uint64_t fence) {
        const json body{{"fence", fence}, {"action", "load_model"}};
        return call(options.address, "POST", "/v1/orders", body.dump()).first;
    };
    BOOST_TEST(order(5) == 200);
    BOOST_TEST(order(5) == 200);
    BOOST_TEST(order(4) == 409);
    BOOST_TEST(engine->orders().highest_fence() == 5);
    BOOST_TEST(engine->orders().orders().size() == 2);
    emulator::order_log unchecked(false);
    BOOST_TEST(unchecked.add({5, "load_model", "{}"}).has_value());
    BOOST_TEST(unchecked.add({4, "load_model", "{}"}).has_value());
}

// Guards against a token time that does not grow with the batch size.
BOOST_AUTO_TEST_CASE(tokens_take_longer_in_a_larger_batch) {
    const emulator::batch_timing timing{30ms, 10ms, 0.1};
    BOOST_CHECK(timing.token_interval(1) == 10ms);
    BOOST_CHECK(timing.token_interval(11) == 20ms);
}

BOOST_AUTO_TEST_SUITE_END()
