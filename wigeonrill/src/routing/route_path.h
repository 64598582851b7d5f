#ifndef WIGEONRILL_ROUTING_ROUTE_PATH_H
#define WIGEONRILL_ROUTING_ROUTE_PATH_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Normalizes a path for comparison with route prefixes.
///
/// Encoded unreserved characters are decoded (RFC 3986, section 6.2.2.2), empty segments are
/// removed, and "%2F" separates segments. A target may interpret a path in any of these ways;
/// without this, an at-most-once request could match the route of a shorter prefix by another
/// spelling of its path.
/// \returns the normalized path without a trailing slash ("" for the root), or nothing for a path
///          that has dot segments, an invalid escape or no leading slash
[[nodiscard]] std::optional<std::string> normalize_path(std::string_view path);

} // namespace wigeonrill::routing

#endif
