#ifndef WIGEONRILL_BASE_H
#define WIGEONRILL_BASE_H

/// \file
/// \brief Interfaces of clocks and random numbers, typed errors, identifiers, and stable hashing.

#define WIGEONRILL_BASE_MODULE

#include <algorithm>
#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "src/base/assertion.h"
#include "src/base/clock_source.h"
#include "src/base/enum_names.h"
#include "src/base/error.h"
// Needs error.h.
#include "src/base/endpoint.h"
#include "src/base/identifier.h"
#include "src/base/random_source.h"
#include "src/base/stable_hash.h"
// Needs clock_source.h.
#include "src/base/token_bucket.h"
// Needs stable_hash.h.
#include "src/base/rendezvous.h"

#endif
