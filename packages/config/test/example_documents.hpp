#pragma once

#include <rattanbay/config/environment_document.hpp>

#include <string>

/// Returns a minimal valid document. `variant` changes the bytes but not the content.
inline rattanbay::config::environment_document example_document(int revision, int variant = 0) {
    const std::string text =
        "// variant " + std::to_string(variant) + "\n{\"revision\": " + std::to_string(revision) +
        R"(, "cost_weight": 0, "max_concurrent_requests": 8,
  "services": {"encoder": {"kind": "worker_pool", "expected_ms": 20, "concurrency": 4}},
  "pipelines": {"plan": {"deadline_ms": 800, "stages": [{"name": "encode", "service": "encoder"}]}},
  "accounts": {"planners": {"token_sha256": ")" +
        std::string(64, 'a') + R"(", "requests_per_second": 5, "burst": 10, "concurrency": 4}}})";
    return rattanbay::config::environment_document::parse(text).value();
}
