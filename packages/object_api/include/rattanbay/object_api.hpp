#pragma once

/// Typed calls and answers of the platform's object API and VM list, independent of I/O.
///
/// Parts:
/// - call.hpp: calls to the platform
/// - answer.hpp: answers of the platform
/// - evacuated_domains.hpp: failure domains to which nothing more is to be sent
/// - http_mapping.hpp: encoding of calls as HTTP requests and decoding of answers from HTTP responses
/// - store_revision.hpp: positions in the history of the platform's store
/// - vm_list.hpp: the list of live and leaving VMs
/// - vm_list_diff.hpp: differences between two lists
/// - vm_list_update.hpp: changes that daemons tell each other

#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>
#include <rattanbay/object_api/evacuated_domains.hpp>
#include <rattanbay/object_api/http_mapping.hpp>
#include <rattanbay/object_api/store_revision.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/object_api/vm_list_diff.hpp>
#include <rattanbay/object_api/vm_list_update.hpp>
