#ifndef WIGEONRILL_ROUTING_ROUTE_PATH_H
#define WIGEONRILL_ROUTING_ROUTE_PATH_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Brings a path into the form in which routes are compared.
///
/// Encoded unreserved characters are decoded (RFC 3986, section 6.2.2.2), empty segments are
/// dropped, and "%2F" separates segments, because a target may read the path in any of these ways
/// and must not get an at-most-once request through the route of a shorter prefix.
/// \returns the path without a trailing slash ("" for the root), or nothing for a path with dot
///          segments, a bad escape or without a leading slash
[[nodiscard]] std::optional<std::string> comparable_path(std::string_view path);

} // namespace wigeonrill::routing

#endif
