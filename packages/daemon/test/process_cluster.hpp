#pragma once

#include "child_process.hpp"
#include "test_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

/// A test cluster that runs each daemon in its own process.
class process_cluster : public test_cluster {
public:
    explicit process_cluster(std::size_t daemons)
        : test_cluster(0)
        , directory_(std::filesystem::temp_directory_path() /
                     ("rattanbay-" + caller_address(0).host() + "-" + std::to_string(::getpid())))
        , processes_(daemons) {
        std::filesystem::create_directories(directory_);
        for (std::size_t n = 0; n < daemons; ++n) {
            spawn(n);
        }
    }

    ~process_cluster() {
        processes_.clear();
        std::filesystem::remove_all(directory_);
    }

    void spawn(std::size_t n) {
        const std::filesystem::path settings = directory_ / ("settings-" + std::to_string(n) + ".json");
        std::ofstream(settings) << settings_text(n);
        const std::string path = settings.string();
        const std::string log = (directory_ / ("log-" + std::to_string(n))).string();
        processes_[n] = child_process::spawn(RATTANBAY_DAEMON, path, log);
        BOOST_REQUIRE(processes_[n].has_value());
    }

    /// Sends a signal to the process of daemon `n`.
    void signal(std::size_t n, int signal_number) { processes_[n]->signal(signal_number); }

    /// Kills the process of daemon `n`.
    void kill(std::size_t n) {
        processes_[n]->kill();
        processes_[n].reset();
    }

    /// Waits for the process of daemon `n` to end. Returns its status as reported by `waitpid`.
    int wait_for_end(std::size_t n) {
        const int status = processes_[n]->wait_for_end();
        processes_[n].reset();
        return status;
    }

    bool wait_until_all_ready(std::uint64_t revision) {
        return wait_until([this, revision]() {
            std::size_t running = 0;
            for (const std::optional<child_process>& process : processes_) {
                running += process ? 1 : 0;
            }
            for (std::size_t n = 0; n < processes_.size(); ++n) {
                if (processes_[n] && !is_ready(n, revision, running)) {
                    return false;
                }
            }
            return true;
        });
    }

private:
    std::string settings_text(std::size_t n) const {
        const rattanbay::config::settings settings = settings_of(n);
        nlohmann::json text;
        text["environment"] = settings.environment;
        text["vm"] = settings.vm.text();
        text["failure_domain"] = settings.failure_domain.text();
        text["caller_address"] = settings.caller_address.text();
        text["peer_address"] = settings.peer_address.text();
        text["operator_address"] = settings.operator_address.text();
        text["platform_addresses"] = {settings.platform_addresses.front().text()};
        text["seed_peers"] = nlohmann::json::array();
        for (const rattanbay::base::address& seed : settings.seed_peers) {
            if (seed != settings.peer_address) {
                text["seed_peers"].push_back(seed.text());
            }
        }
        text["cluster_secret"] = settings.cluster_secret;
        text["entries_max_age_ms"] = 1000;
        return text.dump();
    }

    std::filesystem::path directory_;
    std::vector<std::optional<child_process>> processes_;
};
