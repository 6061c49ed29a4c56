#pragma once

/// The platform's object API and VM list, as typed calls and answers without I/O.
///
/// Parts:
/// - call.hpp: what can be asked of the platform
/// - answer.hpp: what the platform answers
/// - http_mapping.hpp: calls as HTTP requests and answers from HTTP responses
/// - vm_list.hpp: the list of live and leaving VMs

#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>
#include <rattanbay/object_api/http_mapping.hpp>
#include <rattanbay/object_api/vm_list.hpp>
