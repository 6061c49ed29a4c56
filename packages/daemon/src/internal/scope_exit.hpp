#pragma once

#include <functional>
#include <utility>

namespace rattanbay::daemon::internal {

/// Calls a function at the end of its scope, also if an exception ends it.
class scope_exit {
public:
    explicit scope_exit(std::function<void()> function)
        : function_(std::move(function)) {}

    scope_exit(const scope_exit&) = delete;
    scope_exit& operator=(const scope_exit&) = delete;

    ~scope_exit() { function_(); }

private:
    std::function<void()> function_;
};

} // namespace rattanbay::daemon::internal
