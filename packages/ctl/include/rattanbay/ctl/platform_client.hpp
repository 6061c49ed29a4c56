#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <vector>

namespace rattanbay::ctl {

/// Performs platform calls over HTTP, on the next address after a failure.
class platform_client {
public:
    /// `addresses` is not empty.
    platform_client(command_io& io, std::vector<base::address> addresses);

    /// Performs a read or write. Watches are not for this client: it does not lengthen the
    /// exchange's time limits by the call's wait.
    object_api::answer perform(const object_api::call& call);

private:
    command_io& io_;
    std::vector<base::address> addresses_;
    std::size_t next_ = 0;
};

} // namespace rattanbay::ctl
