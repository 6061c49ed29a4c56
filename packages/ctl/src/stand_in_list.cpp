#include "internal/stand_in_list.hpp"

#include <rattanbay/emulator.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::ctl::internal {

namespace {

using emulated_endpoint = std::unique_ptr<emulator::endpoint_service>;

/// Converts the result of a concrete service type to the common base type.
template <class Service>
base::result<emulated_endpoint> to_endpoint_service(base::result<std::unique_ptr<Service>> service) {
    if (!service) {
        return tl::unexpected<base::error>(service.error());
    }
    return emulated_endpoint(std::move(*service));
}

/// Derives the role of a worker pool from the service name; the default is `encode`.
emulator::worker_role worker_role_for(const std::string& service) {
    if (service.find("retriev") != std::string::npos) {
        return emulator::worker_role::retrieve;
    }
    return service.find("rerank") != std::string::npos ? emulator::worker_role::rerank
                                                       : emulator::worker_role::encode;
}

template <class Options> Options make_options(const object_api::vm& vm, const config::service& service) {
    Options options;
    options.address = vm.address;
    options.concurrency = service.max_concurrency;
    options.reports_load = service.reports_load;
    return options;
}

base::result<emulated_endpoint> start_emulated_endpoint(boost::asio::io_context& context,
                                                        const object_api::vm& vm,
                                                        const config::service& service) {
    if (service.kind == config::service_kind::model_engine) {
        emulator::engine_options options = make_options<emulator::engine_options>(vm, service);
        options.checks_fencing = service.checks_fencing;
        return to_endpoint_service(emulator::model_engine::start(context, options));
    }
    if (service.kind == config::service_kind::plain_service) {
        emulator::plain_options options = make_options<emulator::plain_options>(vm, service);
        options.service = service.name.text();
        options.service_time = service.expected_duration;
        return to_endpoint_service(emulator::plain_service::start(context, options));
    }
    emulator::worker_options options = make_options<emulator::worker_options>(vm, service);
    options.role = worker_role_for(service.name.text());
    options.service_time = service.expected_duration;
    return to_endpoint_service(emulator::worker_pool::start(context, options));
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
                                                                       "' must have the form 127.0.0.1:8080");
            }
        }
    } catch (const nlohmann::json::exception& error) {
        return base::fail(base::error_code::invalid_input,
                          std::string("the VM list is malformed: ") + error.what());
    }
    return vms;
}

base::result<std::vector<emulated_endpoint>>
start_emulated_endpoints(boost::asio::io_context& context, const std::vector<object_api::vm>& vms,
                         const config::environment_document& document) {
    std::vector<emulated_endpoint> endpoints;
    for (const object_api::vm& vm : vms) {
        const auto it = document.services.find(vm.service);
        if (it == document.services.end()) {
            continue;
        }
        base::result<emulated_endpoint> endpoint = start_emulated_endpoint(context, vm, it->second);
        if (!endpoint) {
            return tl::unexpected<base::error>(endpoint.error());
        }
        endpoints.push_back(std::move(*endpoint));
    }
    return endpoints;
}

} // namespace rattanbay::ctl::internal
