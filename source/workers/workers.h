#pragma once

/// Public header of the worker library: runs the tasks of jobs on a set of workers under leases. No I/O.

#include "workers/grant.h"
#include "workers/locality.h"
#include "workers/loss_ledger.h"
#include "workers/policy.h"
#include "workers/pool.h"
#include "workers/types.h"
