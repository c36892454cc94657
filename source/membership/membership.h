#pragma once

/// Public header of the membership library, which maintains the registrar view of each data centre.

#include "membership/member.h"
#include "membership/messages.h"
#include "membership/proposal.h"
#include "membership/ranking.h"
#include "membership/types.h"
