#include <account_shares.hpp>
#include <simulation.hpp>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace experiment = rattanbay::routing::experiment;

namespace {

using experiment::limit_policy;
using experiment::selection_policy;

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t seed_count = 5;

/// Combination of policies, shown as one row per installation and scenario.
struct policy_variant {
    std::string limits_name;
    std::string routing_name;
    limit_policy limits = limit_policy::limits;
    selection_policy selection = selection_policy::router;
    double cost_weight = 0;
};

const std::vector<policy_variant> policy_variants{
    {"limits", "random", limit_policy::limits, selection_policy::random, 0},
    {"limits", "least outstanding", limit_policy::limits, selection_policy::least_outstanding, 0},
    {"limits", "router", limit_policy::limits, selection_policy::router, 0},
    {"limits", "router, affinity", limit_policy::limits, selection_policy::router_with_affinity, 0},
    {"limits", "router, affinity", limit_policy::limits, selection_policy::router_with_affinity, 1},
    {"plain retries", "router, affinity", limit_policy::plain_retries, selection_policy::router_with_affinity,
     0},
};

void print_row(const experiment::installation& site, const experiment::scenario& conditions,
               const policy_variant& policy) {
    experiment::measurements total;
    for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
        total.add(experiment::simulation(
                      {site, conditions, policy.selection, policy.limits, policy.cost_weight, seed})
                      .run());
    }
    std::ostringstream label;
    label << site.name << " | " << conditions.name << " | " << policy.limits_name << " | "
          << policy.routing_name << " | " << policy.cost_weight;
    const double seconds = std::chrono::duration<double>(experiment::run_length).count() * seed_count;
    std::cout << experiment::table_row(label.str(), total, seconds);
}

} // namespace

/// Prints the result tables. Usage: routing_experiment [scenario | shares]
int main(int argc, char** argv) {
    const std::string selected = argc > 1 ? argv[1] : "";
    if (selected.empty() || selected == "shares") {
        std::cout << experiment::account_share_table() << '\n';
    }
    std::cout << experiment::table_header();
    for (const experiment::installation& site :
         {experiment::installation_t(), experiment::installation_z()}) {
        for (const experiment::scenario& conditions : experiment::all_scenarios()) {
            if (!selected.empty() && conditions.name != selected) {
                continue;
            }
            for (const policy_variant& policy : policy_variants) {
                print_row(site, conditions, policy);
            }
        }
    }
    return EXIT_SUCCESS;
}
