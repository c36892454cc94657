#pragma once

/// Public header of the wire library: messages between entry instances and their frames.

#include "wire/frame.h"
#include "wire/messages.h"
