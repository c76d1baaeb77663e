#pragma once

/** \brief Identifiers, clocks, errors, backoff, hashing and random numbers. */

#include "src/Core/Backoff.h"
#include "src/Core/Clock.h"
#include "src/Core/Error.h"
#include "src/Core/Hash.h"
#include "src/Core/HttpSyntax.h"
#include "src/Core/Ids.h"
#include "src/Core/Outcome.h"
#include "src/Core/Random.h"
#include "src/Core/StoreRow.h"
