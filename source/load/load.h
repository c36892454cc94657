#pragma once

/// Public header of the load library: scenarios, plans and traces, runs, and reports.

#include "load/plan.h"
#include "load/report.h"
#include "load/runner.h"
#include "load/scenario.h"
#include "load/statistics.h"
