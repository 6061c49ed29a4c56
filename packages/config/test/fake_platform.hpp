#pragma once

#include <rattanbay/object_api.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// What goes wrong with one call to the fake platform.
enum class fault {
    none,
    /// The connection is refused, so nothing was sent.
    refuse,
    /// The call does not arrive.
    drop,
    /// The call takes effect, the answer is lost.
    lose_answer,
    /// The caller gives up and the call arrives later.
    delay,
};

/// Objects of the platform with all earlier values, so that reads can return old copies.
class fake_platform {
public:
    using call = rattanbay::object_api::call;
    using answer_type = rattanbay::object_api::answer;
    using object_key = rattanbay::object_api::object_key;

    /// Told of each write that takes effect, with its writer and value.
    std::function<void(int, const std::string&)> on_write = [](int, const std::string&) {};

    /// Answers a read or write; a read returns the copy that is `age` writes old.
    answer_type answer(int writer, const call& asked, fault how, std::size_t age) {
        const rattanbay::object_api::write_object* write =
            std::get_if<rattanbay::object_api::write_object>(&asked);
        const rattanbay::base::error reason{how == fault::refuse
                                                ? rattanbay::base::error_code::connection_refused
                                                : rattanbay::base::error_code::timed_out,
                                            "no answer"};
        if (how == fault::delay && write != nullptr) {
            late_.emplace_back(writer, *write);
        }
        if (how == fault::delay || how == fault::drop || how == fault::refuse) {
            return rattanbay::object_api::failed{reason};
        }
        const answer_type got = write != nullptr
                                    ? perform(writer, *write)
                                    : read(std::get<rattanbay::object_api::read_object>(asked).key, age);
        return how == fault::lose_answer ? answer_type(rattanbay::object_api::failed{reason}) : got;
    }

    /// Copy of an object that is `age` writes old; before its first write it is absent.
    answer_type read(const object_key& key, std::size_t age) const {
        const auto it = objects_.find(key);
        if (it == objects_.end() || age >= it->second.size()) {
            return rattanbay::object_api::absent{};
        }
        return it->second[it->second.size() - 1 - age];
    }

    /// Lets one delayed write arrive; false when there is none.
    bool deliver_late(std::size_t which) {
        if (late_.empty()) {
            return false;
        }
        const auto it = late_.begin() + static_cast<std::ptrdiff_t>(which % late_.size());
        const std::pair<int, rattanbay::object_api::write_object> arrived = *it;
        late_.erase(it);
        perform(arrived.first, arrived.second);
        return true;
    }

private:
    answer_type perform(int writer, const rattanbay::object_api::write_object& write) {
        std::vector<rattanbay::object_api::object>& copies = objects_[write.key];
        if (copies.empty() && write.expected_version) {
            return rattanbay::object_api::absent{};
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
    std::vector<std::pair<int, rattanbay::object_api::write_object>> late_;
};
