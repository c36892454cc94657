#pragma once

/// Public header of the routing library, which decides which instance holds which pool and which pool gets a
/// job. No I/O.

#include "routing/configuration_relay.h"
#include "routing/directory_relay.h"
#include "routing/layout.h"
#include "routing/ownership.h"
#include "routing/peers.h"
#include "routing/pool_choice.h"
#include "routing/router.h"
#include "routing/status_schedule.h"
#include "routing/types.h"
