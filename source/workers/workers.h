#pragma once

/// Public header of the worker library: runs the tasks of jobs on a set of workers under leases. No I/O.

#include "workers/crash_ledger.h"
#include "workers/grant.h"
#include "workers/policy.h"
#include "workers/pool.h"
#include "workers/types.h"
