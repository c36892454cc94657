#pragma once

/// Public header of the registry library, which grants claims of submission ids.

#include "registry/messages.h"
#include "registry/registrar.h"
#include "registry/types.h"
