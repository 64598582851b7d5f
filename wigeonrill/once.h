#ifndef WIGEONRILL_ONCE_H
#define WIGEONRILL_ONCE_H

/// \file
/// \brief Idempotency keys, their owners, the deduplication table, crash containment.

#define WIGEONRILL_ONCE_MODULE

#include "config.h"

#include "src/once/crash_mark.h"

#endif
