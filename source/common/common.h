#pragma once

/// Public header of the common library: identifiers, verdicts, results, time, queues, random numbers,
/// signals and severities.

#include "common/bounded_ring.h"
#include "common/clock.h"
#include "common/ids.h"
#include "common/random_source.h"
#include "common/result.h"
#include "common/severity.h"
#include "common/signal_thread.h"
#include "common/verdict.h"
