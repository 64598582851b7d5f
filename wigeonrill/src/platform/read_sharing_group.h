#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_READ_SHARING_GROUP_H
#define WIGEONRILL_PLATFORM_READ_SHARING_GROUP_H

namespace wigeonrill::platform {

/// \brief Upper limit of the mean group size when a fleet is divided into several groups.
///
/// It limits how many messages a node sends after it has read. In a fleet of 3,700 nodes it limits
/// the calls to the platform to 78 times those of a single reader.
inline constexpr std::size_t usual_group_size = 48;

/// \brief The nodes that send each other what they read from the platform, as seen by one of them.
struct read_sharing_group {
    std::vector<node_id> others; ///< the other nodes of the group
    std::size_t rank{0};         ///< position of this node in the group, starting at 0
};

/// \brief Determines a node's group and its rank in it.
///
/// A fleet of up to 2 * usual_group_size nodes is one group. A larger one is divided by the hashes
/// of the node ids, so that all nodes that see the same fleet find the same groups and ranks.
/// \param live ids of the live nodes in any order; may lack this node
[[nodiscard]] read_sharing_group choose_read_sharing_group(const node_id& self,
                                                           const std::vector<node_id>& live);

} // namespace wigeonrill::platform

#endif
