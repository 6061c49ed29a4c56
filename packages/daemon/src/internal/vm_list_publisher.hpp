#pragma once

#include "shared_state.hpp"

#include <rattanbay/object_api/answer.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Where information about the VM list came from: the kind of call, as logged, and the version of its answer.
struct vm_list_source {
    std::string_view call;
    object_api::store_revision version;
};

/// Source of an answer of the platform; nothing if the answer is not about the VM list. `current_version` is
/// the version of the list in use.
std::optional<vm_list_source> vm_list_source_of(const object_api::answer& answer,
                                                const object_api::store_revision& current_version);

/// Publishes VM lists to the request threads, and logs what each answer about the list changed. Runs on the
/// control strand.
class vm_list_publisher {
public:
    explicit vm_list_publisher(shared_state& shared)
        : shared_(shared) {}

    /// Logs and counts an answer about the VM list before it is applied to the list of `current_version`.
    void record_answer(const vm_list_source& source, const object_api::store_revision& current_version,
                       bool is_unchanged);

    /// Logs the number of entries of an answer that were left out because they are unusable.
    static void log_unusable_entries(std::size_t entries);

    /// Publishes a list if it differs from the published one.
    void publish(const object_api::vm_list& list, const vm_list_source& source);

    /// Publishes the endpoints of the services in the document in force.
    void publish_endpoints();

private:
    shared_state& shared_;
};

} // namespace rattanbay::daemon::internal
