#ifndef WIGEONRILL_ROUTING_NODE_GROUP_H
#define WIGEONRILL_ROUTING_NODE_GROUP_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Largest number of nodes in a group. The nodes of a group tell each other about their
/// requests, which costs each of them messages in proportion to this number.
inline constexpr std::size_t max_group_nodes = 48;

/// \brief Least number of a service's targets in the slice of a group, if the service has as many.
/// With fewer, the failure of two would leave too little capacity in the slice.
inline constexpr std::size_t min_slice_targets = 8;

/// \brief Position of a node's group among the groups of the fleet.
struct group_position {
    std::size_t index{0}; ///< starting at 0
    std::size_t count{1}; ///< number of groups
    std::size_t nodes{1}; ///< number of nodes in the group

    friend bool operator==(const group_position&, const group_position&) = default;
};

/// \brief The nodes that mainly use the same targets, as seen by one of them.
struct node_group {
    group_position position;
    std::vector<node_id> others; ///< the other nodes of the group
};

/// \brief Determines the group of a node.
///
/// In a large fleet a pair of node and target has a request a minute, so no node alone knows the
/// load and the failures of a target, and not every node can be told by all others. Therefore the
/// fleet is divided into groups. The nodes of a group send most requests to the same slice of each
/// service's targets and tell each other what they see there. All groups have the same size,
/// give or take one node, so that their slices are loaded alike. A node that joins or leaves moves
/// at most one node across each border between two groups, as long as their number stays.
/// \param live ids of the live nodes in any order; may lack this node
[[nodiscard]] node_group choose_node_group(const node_id& self, std::vector<node_id> live);

/// \brief Determines the slice of a service's targets that a group mainly uses.
/// \param targets all configured targets of the service
/// \returns for each target whether it belongs to the slice
[[nodiscard]] std::vector<bool> choose_target_slice(std::span<const config::target> targets,
                                                    const group_position& group);

} // namespace wigeonrill::routing

#endif
