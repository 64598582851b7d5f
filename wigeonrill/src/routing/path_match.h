#ifndef WIGEONRILL_ROUTING_PATH_MATCH_H
#define WIGEONRILL_ROUTING_PATH_MATCH_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief How the path prefixes of routes are compared with the paths of requests.
///
/// It belongs to the source of the configuration and not to its content, so that nodes of two
/// builds have equal content during an upgrade.
enum class path_match : std::uint8_t {
    segments, ///< whole segments of the normalized path, see normalize_path()
    literal   ///< the characters of the path as it was received; prefixes end with a slash
};

} // namespace wigeonrill::routing

#endif
