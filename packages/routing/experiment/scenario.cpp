#include <scenario.hpp>

namespace rattanbay::routing::experiment {

std::vector<scenario> all_scenarios() {
    return {{"steady", {}, 1},
            {"burst", {}, 4},
            {"slow", {{fault_kind::slow, "writer", 2}, {fault_kind::slow, "retriever", 1}}, 1},
            {"failing", {{fault_kind::failing, "reranker", 0}}, 1},
            {"lost domain", {{fault_kind::lost_domain, "", 1}}, 1},
            {"flapping", {{fault_kind::flapping, "writer", 2}, {fault_kind::flapping, "retriever", 1}}, 1}};
}

} // namespace rattanbay::routing::experiment
