#ifndef WIGEONRILL_DAEMON_ADMIN_JSON_H
#define WIGEONRILL_DAEMON_ADMIN_JSON_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

#include <nlohmann/json.hpp>

// Pages of the administration port. Only source files include this header, because of its size.

namespace wigeonrill::daemon {

/// \returns a target as a row of the page with all targets
[[nodiscard]] nlohmann::ordered_json target_row_json(const target_row& row);

/// \param rows all targets; those of the explained services are used
/// \returns the page that explains where a request would go
[[nodiscard]] std::string explanation_json(const dispatch::explained_request& request,
                                           const dispatch::explanation& found,
                                           const std::vector<target_row>& rows);

} // namespace wigeonrill::daemon

#endif
