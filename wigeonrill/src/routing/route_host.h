#ifndef WIGEONRILL_ROUTING_ROUTE_HOST_H
#define WIGEONRILL_ROUTING_ROUTE_HOST_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Returns the one form of all spellings of a host: in lower case, without a dot at its end.
/// \param host host of a request or route, without a port
[[nodiscard]] std::string normalize_host(std::string_view host);

} // namespace wigeonrill::routing

#endif
