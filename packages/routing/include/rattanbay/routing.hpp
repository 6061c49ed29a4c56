#pragma once

/// Selects an endpoint for each call of a stage.
///
/// Headers:
/// - endpoint_table.hpp: endpoints of each service
/// - load_report.hpp: load that an endpoint reports
/// - route.hpp: request to the router and its result
/// - router.hpp: latency estimates, outlier ejection and endpoint selection

#include <rattanbay/routing/endpoint_table.hpp>
#include <rattanbay/routing/load_report.hpp>
#include <rattanbay/routing/route.hpp>
#include <rattanbay/routing/router.hpp>
