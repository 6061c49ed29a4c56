#pragma once

#include <rattanbay/ctl/command.hpp>

namespace rattanbay::ctl::internal {

int run_check(const invocation& call);
int run_apply(const invocation& call);
int run_prove(const invocation& call);
int run_promote(const invocation& call);
int run_status(const invocation& call);
int run_entries(const invocation& call);
int run_drain(const invocation& call);
int run_timeline(const invocation& call);
int run_emulate_platform(const invocation& call);
int run_emulate_endpoints(const invocation& call);
int run_load(const invocation& call);
int run_version(const invocation& call);

} // namespace rattanbay::ctl::internal
