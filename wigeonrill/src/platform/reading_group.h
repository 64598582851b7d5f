#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_READING_GROUP_H
#define WIGEONRILL_PLATFORM_READING_GROUP_H

namespace wigeonrill::platform {

/// \brief Largest usual size of a group: bounds the messages of a reading node, and at 3,700 nodes
///        the calls to the platform to 77 times those of one reader.
inline constexpr std::size_t usual_group_size = 48;

/// \brief Nodes that tell each other what they read from the platform.
struct reading_group {
    std::vector<node_id> others; ///< without this node
    std::size_t rank{0};         ///< position of this node
};

/// \brief Chooses a node's group: a fleet of up to twice the usual size is one group, a larger one
///        is divided by the hash of the nodes' names.
/// \param live ids of the live nodes in any order; this node may be missing
[[nodiscard]] reading_group group_of(const node_id& self, const std::vector<node_id>& live);

} // namespace wigeonrill::platform

#endif
