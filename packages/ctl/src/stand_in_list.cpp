#include "internal/stand_in_list.hpp"

#include <rattanbay/emulator.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::ctl::internal {

namespace {

using stand_in = std::unique_ptr<emulator::endpoint_service>;

/// Widens a typed stand-in to the common type.
template <class Service> base::result<stand_in> widen(base::result<std::unique_ptr<Service>> started) {
    if (!started) {
        return tl::unexpected<base::error>(started.error());
    }
    return stand_in(std::move(*started));
}

/// Role of a worker pool by its service's name; other names encode.
emulator::worker_role role_of(const std::string& service) {
    if (service.find("retriev") != std::string::npos) {
        return emulator::worker_role::retrieve;
    }
    return service.find("rerank") != std::string::npos ? emulator::worker_role::rerank
                                                       : emulator::worker_role::encode;
}

template <class Options> Options options_for(const object_api::vm& vm, const config::service& service) {
    Options options;
    options.address = vm.address;
    options.concurrency = service.max_concurrency;
    options.reports_load = service.reports_load;
    return options;
}

base::result<stand_in> start_one(boost::asio::io_context& context, const object_api::vm& vm,
                                 const config::service& service) {
    if (service.kind == config::service_kind::model_engine) {
        emulator::engine_options options = options_for<emulator::engine_options>(vm, service);
        options.checks_fencing = service.checks_fencing;
        return widen(emulator::model_engine::start(context, options));
    }
    if (service.kind == config::service_kind::plain_service) {
        emulator::plain_options options = options_for<emulator::plain_options>(vm, service);
        options.service = service.name.text();
        options.service_time = service.expected_duration;
        return widen(emulator::plain_service::start(context, options));
    }
    emulator::worker_options options = options_for<emulator::worker_options>(vm, service);
    options.role = role_of(service.name.text());
    options.service_time = service.expected_duration;
    return widen(emulator::worker_pool::start(context, options));
}

object_api::vm parse_vm(const nlohmann::json& row) {
    object_api::vm vm;
    vm.id = base::vm_id(row.at("id").get<std::string>());
    vm.service = base::service_name(row.at("service").get<std::string>());
    vm.failure_domain = base::failure_domain(row.at("failure_domain").get<std::string>());
    vm.address = base::address::parse(row.at("address").get<std::string>()).value_or(base::address{});
    vm.state = base::from_name<object_api::vm_state>(row.value("state", "live"))
                   .value_or(object_api::vm_state::live);
    return vm;
}

} // namespace

base::result<std::vector<object_api::vm>> parse_vm_file(std::string_view text) {
    std::vector<object_api::vm> vms;
    try {
        const nlohmann::json body = nlohmann::json::parse(text, nullptr, true, true);
        for (const nlohmann::json& row : body.at("vms")) {
            vms.push_back(parse_vm(row));
            if (vms.back().address.port == 0) {
                return base::fail(base::error_code::invalid_input, "the address of VM '" +
                                                                       vms.back().id.text() +
                                                                       "' is not of the form 127.0.0.1:8080");
            }
        }
    } catch (const nlohmann::json::exception& thrown) {
        return base::fail(base::error_code::invalid_input,
                          std::string("the VM list is malformed: ") + thrown.what());
    }
    return vms;
}

base::result<std::vector<stand_in>> start_stand_ins(boost::asio::io_context& context,
                                                    const std::vector<object_api::vm>& vms,
                                                    const config::environment_document& document) {
    std::vector<stand_in> started;
    for (const object_api::vm& vm : vms) {
        const auto it = document.services.find(vm.service);
        if (it == document.services.end()) {
            continue;
        }
        base::result<stand_in> next = start_one(context, vm, it->second);
        if (!next) {
            return tl::unexpected<base::error>(next.error());
        }
        started.push_back(std::move(*next));
    }
    return started;
}

} // namespace rattanbay::ctl::internal
