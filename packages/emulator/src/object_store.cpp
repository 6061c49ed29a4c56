#include <rattanbay/emulator/object_store.hpp>

namespace rattanbay::emulator {

object_api::answer object_store::read(const object_api::object_key& key, base::time_point at) const {
    const auto it = objects_.find(key);
    const state* found = it == objects_.end() ? nullptr : state_at(it->second, at);
    if (found == nullptr || !found->value) {
        return object_api::not_found{};
    }
    return object_api::object{found->version, *found->value};
}

object_api::object_list object_store::list(const std::string& kind, base::time_point at) const {
    object_api::object_list out;
    for (auto it = objects_.lower_bound({kind, ""}); it != objects_.end() && it->first.kind == kind; ++it) {
        const state* found = state_at(it->second, at);
        if (found != nullptr && found->value) {
            out.objects.push_back({it->first.name, found->version});
        }
    }
    return out;
}

object_api::answer object_store::write(const object_api::write_object& call, base::time_point now) {
    const state* present = current(call.key);
    if (call.expected_version && present == nullptr) {
        return object_api::not_found{};
    }
    const std::uint64_t version = present == nullptr ? 0 : present->version;
    if (call.expected_version.value_or(0) != version) {
        return object_api::conflict{version};
    }
    const std::uint64_t next = take_version();
    append(call.key, {now, next, std::make_shared<const std::string>(call.value)});
    return object_api::written{next};
}

object_api::answer object_store::remove(const object_api::delete_object& call, base::time_point now) {
    const state* present = current(call.key);
    if (present == nullptr) {
        return object_api::not_found{};
    }
    if (call.expected_version != present->version) {
        return object_api::conflict{present->version};
    }
    append(call.key, {now, take_version(), nullptr});
    return object_api::deleted{};
}

const object_store::state* object_store::current(const object_api::object_key& key) const {
    const auto it = objects_.find(key);
    return it == objects_.end() || !it->second.back().value ? nullptr : &it->second.back();
}

const object_store::state* object_store::state_at(const states& list, base::time_point at) {
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
        if (it->since <= at) {
            return &*it;
        }
    }
    return &list.front();
}

void object_store::append(const object_api::object_key& key, state next) {
    states& list = objects_[key];
    if (list.empty()) {
        // The object did not exist before its first state.
        list.push_back(state{base::time_point::min(), 0, nullptr});
    }
    const base::time_point cutoff = next.since - history_;
    list.push_back(std::move(next));
    while (list.size() > 1 && list[1].since <= cutoff) {
        list.pop_front();
    }
}

} // namespace rattanbay::emulator
