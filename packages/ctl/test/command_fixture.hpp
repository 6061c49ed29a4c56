#pragma once

#include <rattanbay/ctl.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

/// Runs the program with in-memory files, daemons and platform and a simulated clock.
class command_fixture : public rattanbay::ctl::command_io {
public:
    using address = rattanbay::base::address;
    using request = rattanbay::http::request;
    using answer = rattanbay::base::result<rattanbay::http::response>;

    /// Exit code and output of one run of the program.
    struct output {
        int code = 0;
        std::string out;
        std::string err;
    };

    std::map<std::string, std::string> files;
    /// Request handlers by "address:port"; other addresses refuse connections.
    std::map<std::string, std::function<answer(const request&)>> servers;
    /// Received requests as "address method target".
    std::vector<std::string> requests;
    rattanbay::base::time_point time;

    output run(const std::vector<std::string>& arguments) {
        std::ostringstream out;
        std::ostringstream err;
        const int code = rattanbay::ctl::run(arguments, *this, out, err);
        return {code, out.str(), err.str()};
    }

    rattanbay::base::result<std::string> read_file(const std::string& path) override {
        const auto it = files.find(path);
        if (it == files.end()) {
            return rattanbay::base::fail(rattanbay::base::error_code::not_found, "no file " + path);
        }
        return it->second;
    }

    answer exchange(const address& to, const request& message,
                    const rattanbay::http::exchange_limits&) override {
        time += std::chrono::milliseconds(1);
        requests.push_back(to.text() + " " + message.method + " " + message.target);
        const auto it = servers.find(to.text());
        if (it == servers.end()) {
            return rattanbay::base::fail(rattanbay::base::error_code::connection_refused, "refused");
        }
        return it->second(message);
    }

    rattanbay::base::time_point now() override { return time; }

    void sleep_for(rattanbay::base::duration duration) override { time += duration; }

    std::uint64_t random_seed() override { return 7; }
};

/// In-memory implementation of the part of the platform's object API that commands use.
class fake_object_server {
public:
    /// Whether successful writes take effect without a response.
    bool drops_responses = false;
    std::map<std::string, nlohmann::json> objects;

    command_fixture::answer operator()(const command_fixture::request& message) {
        const auto it = objects.find(message.target);
        const std::uint64_t version = it == objects.end() ? 0 : it->second["version"].get<std::uint64_t>();
        if (message.method == "GET") {
            return it == objects.end() ? rattanbay::http::json_response(404, "{}")
                                       : rattanbay::http::json_response(200, it->second.dump());
        }
        const std::string expected = message.fields.find("If-Match").value_or("0");
        if (expected != std::to_string(version)) {
            return rattanbay::http::json_response(412, nlohmann::json{{"version", version}}.dump());
        }
        ++version_;
        objects[message.target] = {{"version", version_}, {"value", nlohmann::json::parse(message.body)}};
        if (drops_responses) {
            return rattanbay::base::fail(rattanbay::base::error_code::timed_out, "no answer");
        }
        return rattanbay::http::json_response(200, nlohmann::json{{"version", version_}}.dump());
    }

private:
    std::uint64_t version_ = 10;
};
