#ifndef WIGEONRILL_QUOTA_SEAT_H
#define WIGEONRILL_QUOTA_SEAT_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// \brief One of the roles of granting credit. Each workspace belongs to `seats_per_workspace`
///        seats, and the node that holds a seat grants an equal part of the limits of its
///        workspaces.
using seat = std::uint16_t;

/// With three granters, the loss of one leaves two thirds of each limit.
inline constexpr std::size_t seats_per_workspace = 3;
/// Bounds the number of granters, to each of which every node sends its votes.
inline constexpr std::size_t seat_groups = 4;
inline constexpr std::size_t seat_count = seats_per_workspace * seat_groups;

/// \param index below seats_per_workspace
/// \returns the seat of a workspace
[[nodiscard]] seat seat_of(const workspace_name& workspace, std::size_t index);

/// \brief Chooses the node that should hold a seat: the one with the highest rendezvous score.
/// \param node_hashes stable hashes of the ids of the live nodes, not empty
/// \returns the index of the node
[[nodiscard]] std::size_t choose_granter(seat one, const std::vector<std::uint64_t>& node_hashes);

} // namespace wigeonrill::quota

#endif
