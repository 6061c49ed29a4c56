#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <vector>

namespace rattanbay::ctl {

/// Client of the platform's object API over HTTP. After a failed call, the next one goes to the next address.
class platform_client {
public:
    /// `addresses` is not empty.
    platform_client(command_io& io, std::vector<base::address> addresses);

    /// Performs a read or write. Watches are not supported: the time limits of the exchange do not
    /// include the wait time of a watch.
    object_api::answer perform(const object_api::call& call);

private:
    command_io& io_;
    std::vector<base::address> addresses_;
    std::size_t next_ = 0;
};

} // namespace rattanbay::ctl
