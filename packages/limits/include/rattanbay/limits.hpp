#pragma once

/// Limits that one VM enforces on client accounts, concurrent requests and retries.
///
/// - account_limits.hpp: request rate and concurrency of each client account
/// - admission.hpp: limit on concurrent requests with fair queueing between accounts
/// - retry_budget.hpp: limit on the retries and hedged attempts of a service

#include <rattanbay/limits/account_limits.hpp>
#include <rattanbay/limits/admission.hpp>
#include <rattanbay/limits/retry_budget.hpp>
