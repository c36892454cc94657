#pragma once

/// Public header of the configuration library: bundles, their JSON text, the sign-off and roll-out rules, and
/// the state machine that decides which version is in force. No I/O; functions run on the calling thread and
/// take no locks.

#include "configuration/bundle.h"
#include "configuration/bundle_text.h"
#include "configuration/documents.h"
#include "configuration/rollout.h"
