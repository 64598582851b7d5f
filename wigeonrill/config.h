#ifndef WIGEONRILL_CONFIG_H
#define WIGEONRILL_CONFIG_H

/// \file
/// \brief Inventory and rules: data model, JSON format, validation, versions.

#define WIGEONRILL_CONFIG_MODULE

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base.h"

#include "src/config/target.h"
// Needs target.h.
#include "src/config/key_owner_set.h"
#include "src/config/route.h"
#include "src/config/service.h"
#include "src/config/vm_record.h"
#include "src/config/workspace.h"
// Needs the records above.
#include "src/config/change_set.h"
#include "src/config/snapshot.h"
// Needs change_set.h and snapshot.h.
#include "src/config/store.h"

#endif
