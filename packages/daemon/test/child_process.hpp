#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <optional>
#include <string>
#include <utility>

/// A process that this one started, with its output appended to a file. It is killed at the
/// end if it still runs.
class child_process {
public:
    /// Starts `program` with one argument; nothing if that fails.
    static std::optional<child_process> spawn(std::string program, std::string argument,
                                              const std::string& log) {
        posix_spawn_file_actions_t file_actions;
        posix_spawn_file_actions_init(&file_actions);
        posix_spawn_file_actions_addopen(&file_actions, STDERR_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&file_actions, STDERR_FILENO, STDOUT_FILENO);
        // A socket that the child inherits stays open when this process closes it, so that its peer sees no
        // end.
        posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
        std::array<char*, 3> arguments{program.data(), argument.data(), nullptr};
        pid_t process = no_process;
        const int spawned =
            ::posix_spawn(&process, program.c_str(), &file_actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&file_actions);
        return spawned == 0 ? std::optional<child_process>(child_process(process)) : std::nullopt;
    }

    child_process(child_process&& other) noexcept
        : process_(std::exchange(other.process_, no_process)) {}

    child_process& operator=(child_process&& other) noexcept {
        std::swap(process_, other.process_);
        return *this;
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    ~child_process() {
        if (process_ != no_process) {
            kill();
        }
    }

    /// Does nothing once the process has been waited for, as `kill` takes -1 for all processes.
    void signal(int signal_number) const {
        if (process_ != no_process) {
            ::kill(process_, signal_number);
        }
    }

    void kill() {
        signal(SIGKILL);
        wait_for_end();
    }

    /// Waits for the process to end. Returns its status as reported by `waitpid`.
    int wait_for_end() {
        int status = 0;
        if (process_ != no_process) {
            ::waitpid(process_, &status, 0);
        }
        process_ = no_process;
        return status;
    }

    /// Status of the process as reported by `waitpid` if it has ended.
    std::optional<int> status_if_ended() {
        int status = 0;
        if (process_ == no_process || ::waitpid(process_, &status, WNOHANG) != process_) {
            return std::nullopt;
        }
        process_ = no_process;
        return status;
    }

private:
    static constexpr pid_t no_process = -1;

    explicit child_process(pid_t process)
        : process_(process) {}

    pid_t process_ = no_process;
};
