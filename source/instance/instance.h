#pragma once

/// Public header of the instance library: the daemon that serves callers' jobs on leased workers.

#include "instance/daemon.h"
#include "instance/guarded_protocol.h"
#include "instance/protocol.h"
#include "instance/settings.h"
