#ifndef WIGEONRILL_TOOL_H
#define WIGEONRILL_TOOL_H

/// \file
/// \brief The command-line tool `wigeonrill`.

#define WIGEONRILL_TOOL_MODULE

#include "config.h"

#include "src/tool/admin_client.h"
#include "src/tool/command_line.h"
#include "src/tool/exit_code.h"
#include "src/tool/text_table.h"

#endif
