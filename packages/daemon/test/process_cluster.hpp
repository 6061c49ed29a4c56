#pragma once

#include "test_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

/// A test cluster that runs each daemon in its own process.
class process_cluster : public test_cluster {
public:
    explicit process_cluster(std::size_t daemons)
        : test_cluster(0)
        , directory_(std::filesystem::temp_directory_path() /
                     ("rattanbay-" + caller_address(0).host() + "-" + std::to_string(::getpid())))
        , processes_(daemons, no_process) {
        std::filesystem::create_directories(directory_);
        for (std::size_t n = 0; n < daemons; ++n) {
            spawn(n);
        }
    }

    ~process_cluster() {
        for (std::size_t n = 0; n < processes_.size(); ++n) {
            if (processes_[n] != no_process) {
                kill(n);
            }
        }
        std::filesystem::remove_all(directory_);
    }

    void spawn(std::size_t n) {
        const std::filesystem::path settings = directory_ / ("settings-" + std::to_string(n) + ".json");
        std::ofstream(settings) << settings_text(n);
        const std::string path = settings.string();
        const std::string log = (directory_ / ("log-" + std::to_string(n))).string();
        posix_spawn_file_actions_t file_actions;
        posix_spawn_file_actions_init(&file_actions);
        posix_spawn_file_actions_addopen(&file_actions, STDERR_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        std::string program = RATTANBAY_DAEMON;
        std::string argument = path;
        std::array<char*, 3> arguments{program.data(), argument.data(), nullptr};
        const int spawned = ::posix_spawn(&processes_[n], RATTANBAY_DAEMON, &file_actions, nullptr,
                                          arguments.data(), environ);
        posix_spawn_file_actions_destroy(&file_actions);
        BOOST_REQUIRE(spawned == 0);
    }

    /// Sends a signal to the process of daemon `n`.
    void signal(std::size_t n, int signal_number) { ::kill(processes_[n], signal_number); }

    /// Kills the process of daemon `n`.
    void kill(std::size_t n) {
        signal(n, SIGKILL);
        wait_for_end(n);
    }

    /// Waits for the process of daemon `n` to end. Returns its status as reported by `waitpid`.
    int wait_for_end(std::size_t n) {
        int status = 0;
        ::waitpid(processes_[n], &status, 0);
        processes_[n] = no_process;
        return status;
    }

    bool wait_until_all_ready(std::uint64_t revision) {
        return wait_until([this, revision]() {
            std::size_t running = 0;
            for (const pid_t process : processes_) {
                running += process == no_process ? 0 : 1;
            }
            for (std::size_t n = 0; n < processes_.size(); ++n) {
                if (processes_[n] != no_process && !is_ready(n, revision, running)) {
                    return false;
                }
            }
            return true;
        });
    }

private:
    static constexpr pid_t no_process = -1;

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
    std::vector<pid_t> processes_;
};
