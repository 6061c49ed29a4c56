#include <rattanbay/emulator/object_store.hpp>

namespace rattanbay::emulator {

object_api::answer object_store::read(const object_api::object_key& key, base::time_point at) const {
    const auto it = objects_.find(key);
    const revision* found = it == objects_.end() ? nullptr : revision_at(it->second, at);
    if (found == nullptr || !found->value) {
        return object_api::not_found{};
    }
    return object_api::object{found->version, *found->value};
}

object_api::object_list object_store::list(const std::string& kind, base::time_point at) const {
    object_api::object_list out;
    for (auto it = objects_.lower_bound({kind, ""}); it != objects_.end() && it->first.kind == kind; ++it) {
        const revision* found = revision_at(it->second, at);
        if (found != nullptr && found->value) {
            out.objects.push_back({it->first.name, found->version});
        }
    }
    return out;
}

object_api::answer object_store::write(const object_api::write_object& call, base::time_point now) {
    const revision* existing = current(call.key);
    if (call.expected_version && existing == nullptr) {
        return object_api::not_found{};
    }
    const std::uint64_t version = existing == nullptr ? 0 : existing->version;
    if (call.expected_version.value_or(0) != version) {
        return object_api::conflict{version};
    }
    const std::uint64_t next = next_version();
    append(call.key, {now, next, std::make_shared<const std::string>(call.value)});
    return object_api::written{next};
}

object_api::answer object_store::remove(const object_api::delete_object& call, base::time_point now) {
    const revision* existing = current(call.key);
    if (existing == nullptr) {
        return object_api::not_found{};
    }
    if (call.expected_version != existing->version) {
        return object_api::conflict{existing->version};
    }
    append(call.key, {now, next_version(), nullptr});
    return object_api::deleted{};
}

const object_store::revision* object_store::current(const object_api::object_key& key) const {
    const auto it = objects_.find(key);
    return it == objects_.end() || !it->second.back().value ? nullptr : &it->second.back();
}

const object_store::revision* object_store::revision_at(const revisions& list, base::time_point at) {
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
        if (it->valid_from <= at) {
            return &*it;
        }
    }
    return &list.front();
}

void object_store::append(const object_api::object_key& key, revision next) {
    revisions& list = objects_[key];
    if (list.empty()) {
        // Reads before the first write must not find the object.
        list.push_back(revision{base::time_point::min(), 0, nullptr});
    }
    const base::time_point cutoff = next.valid_from - retention_;
    list.push_back(std::move(next));
    while (list.size() > 1 && list[1].valid_from <= cutoff) {
        list.pop_front();
    }
}

} // namespace rattanbay::emulator
