#ifndef WIGEONRILL_CONFIG_H
#define WIGEONRILL_CONFIG_H

/// \file
/// \brief Configuration of the fleet: data model, JSON format, validation and versions.

#define WIGEONRILL_CONFIG_MODULE

#include <array>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base.h"

#include "src/config/key_digest.h"
#include "src/config/shared_list.h"
#include "src/config/target.h"
#include "src/config/units.h"
#include "src/config/value_rules.h"
// Needs target.h.
#include "src/config/key_owner_set.h"
#include "src/config/route.h"
#include "src/config/service.h"
#include "src/config/vm_record.h"
#include "src/config/workspace.h"
// Needs workspace.h and shared_list.h.
#include "src/config/workspace_directory.h"
// Needs the record types above.
#include "src/config/change_set.h"
#include "src/config/snapshot.h"
// Needs change_set.h and snapshot.h.
#include "src/config/configuration_store.h"
#include "src/config/document_writer.h"
#include "src/config/file_check.h"
#include "src/config/loader.h"
#include "src/config/sharding.h"
#include "src/config/validator.h"
// Checked access to JSON documents, also used for the settings of the daemon.
#include "src/config/json_document.h"
#include "src/config/parse_context.h"
// Needs parse_context.h.
#include "src/config/checked_object.h"

#endif
