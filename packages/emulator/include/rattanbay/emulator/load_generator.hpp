#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/load_options.hpp>
#include <rattanbay/emulator/load_report.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rattanbay::emulator {

namespace asio = boost::asio;

/// Generates open-loop load through the caller protocol and checks every answer. It must be
/// destroyed before its I/O context.
class load_generator {
public:
    /// Receives the report of a finished run on a thread of the I/O context.
    using completion_handler = std::function<void(const load_report&)>;

    /// Starts a run. `on_finished` is called once, after the last request has ended. Errors:
    /// `invalid_input` if the options fail validation.
    static base::result<std::unique_ptr<load_generator>>
    start(asio::io_context& context, load_options options, completion_handler on_finished);

    /// Calls `stop`.
    virtual ~load_generator() = default;

    /// Starts no further requests. The run finishes when those in progress have ended.
    virtual void stop() = 0;
};

} // namespace rattanbay::emulator
