#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/caller/run_request.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::caller {

/// Resource usage of one stage, as reported to the caller.
struct stage_usage {
    std::string name;
    std::uint32_t attempts = 0;
    base::duration duration{};
};

/// Result of a complete run.
struct run_response {
    base::request_id id;
    base::pipeline_name pipeline;
    /// Output of the last stage as JSON text.
    std::string output;
    std::vector<stage_usage> stages;
    std::uint64_t tokens = 0;
};

/// JSON body of a complete response.
std::string response_body(api_format format, const run_response& response);

/// JSON data of one chunk of a streamed response.
std::string stream_chunk(api_format format, const base::request_id& id, const base::pipeline_name& pipeline,
                         std::uint64_t index, std::string_view text);

/// JSON data of the final chunk of a streamed response, which precedes `end_of_stream`.
std::string final_stream_chunk(api_format format, const run_response& response);

} // namespace rattanbay::caller
