#pragma once

#include <rattanbay/object_api.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Fault injected into one call to the fake platform.
enum class fault {
    none,
    /// The connection is refused; nothing is sent.
    refuse,
    /// The call is lost.
    drop,
    /// The call takes effect but its answer is lost.
    drop_answer,
    /// The call times out and arrives later.
    delay,
};

/// In-memory object store that keeps all earlier values, so that reads can return stale copies.
class fake_platform {
public:
    using call = rattanbay::object_api::call;
    using answer_variant = rattanbay::object_api::answer;
    using object_key = rattanbay::object_api::object_key;

    /// Called for each write that takes effect, with its writer and value.
    std::function<void(int, const std::string&)> on_write = [](int, const std::string&) {};

    /// Answers a read or write; a read returns the copy from `age` writes ago.
    answer_variant answer(int writer, const call& request, fault injected, std::size_t age) {
        const rattanbay::object_api::write_object* write =
            std::get_if<rattanbay::object_api::write_object>(&request);
        const rattanbay::base::error reason{injected == fault::refuse
                                                ? rattanbay::base::error_code::connection_refused
                                                : rattanbay::base::error_code::timed_out,
                                            "no answer"};
        if (injected == fault::delay && write != nullptr) {
            delayed_writes_.emplace_back(writer, *write);
        }
        if (injected == fault::delay || injected == fault::drop || injected == fault::refuse) {
            return rattanbay::object_api::failed{reason};
        }
        const answer_variant got = write != nullptr
                                       ? apply_write(writer, *write)
                                       : read(std::get<rattanbay::object_api::read_object>(request).key, age);
        return injected == fault::drop_answer ? answer_variant(rattanbay::object_api::failed{reason}) : got;
    }

    /// Copy of an object from `age` writes ago; `not_found` before its first write.
    answer_variant read(const object_key& key, std::size_t age) const {
        const auto it = objects_.find(key);
        if (it == objects_.end() || age >= it->second.size()) {
            return rattanbay::object_api::not_found{};
        }
        return it->second[it->second.size() - 1 - age];
    }

    /// Delivers one delayed write; returns false if there is none.
    bool deliver_delayed(std::size_t which) {
        if (delayed_writes_.empty()) {
            return false;
        }
        const auto it = delayed_writes_.begin() + static_cast<std::ptrdiff_t>(which % delayed_writes_.size());
        const std::pair<int, rattanbay::object_api::write_object> arrived = *it;
        delayed_writes_.erase(it);
        apply_write(arrived.first, arrived.second);
        return true;
    }

private:
    answer_variant apply_write(int writer, const rattanbay::object_api::write_object& write) {
        std::vector<rattanbay::object_api::object>& copies = objects_[write.key];
        if (copies.empty() && write.expected_version) {
            return rattanbay::object_api::not_found{};
        }
        if (!copies.empty() && write.expected_version != copies.back().version) {
            return rattanbay::object_api::conflict{copies.back().version};
        }
        copies.push_back({++version_, write.value});
        on_write(writer, write.value);
        return rattanbay::object_api::written{version_};
    }

    std::uint64_t version_ = 0;
    std::map<object_key, std::vector<rattanbay::object_api::object>> objects_;
    std::vector<std::pair<int, rattanbay::object_api::write_object>> delayed_writes_;
};
