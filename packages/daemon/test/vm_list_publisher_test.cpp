#include "internal/vm_list_publisher.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace daemon_ns = rattanbay::daemon;
namespace internal = rattanbay::daemon::internal;
namespace object_api = rattanbay::object_api;

BOOST_AUTO_TEST_SUITE(vm_list_publisher)

// Guards against request threads that use the former software version of an endpoint: only the version of
// its entry changed.
BOOST_AUTO_TEST_CASE(a_list_with_a_changed_software_version_is_published) {
    asio::io_context context;
    config::settings settings;
    settings.cluster_secret = "0123456789abcdef";
    internal::shared_state shared(context, settings, base::incarnation(),
                                  daemon_ns::platform_protocols::emulated());
    internal::vm_list_publisher publisher(shared);
    object_api::vm row;
    row.id = base::vm_id("a");
    row.service = base::service_name("desk");
    row.software_version = "1.4";
    object_api::vm_list list{{1, 10}, {row}};
    publisher.publish(list, {"list", list.version});
    const std::shared_ptr<const object_api::vm_list> before = shared.vms.read();
    BOOST_CHECK(*before == list);

    list.version = {1, 11};
    publisher.publish(list, {"watch", list.version});
    BOOST_TEST(shared.vms.read() == before);

    list.vms[0].software_version = "2.0";
    publisher.publish(list, {"watch", list.version});
    BOOST_CHECK(*shared.vms.read() == list);
}

BOOST_AUTO_TEST_SUITE_END()
