#include "wigeonrill/quota.h"

namespace wigeonrill::quota {

seat seat_of(const workspace_name& workspace, std::size_t index) {
    const auto group = stable_hash(workspace.value) % seat_groups;
    return static_cast<seat>(group * seats_per_workspace + index);
}

std::size_t choose_granter(seat one, const std::vector<std::uint64_t>& node_hashes) {
    WIGEONRILL_ASSERT(!node_hashes.empty(), "a seat needs a node");
    const auto key = stable_hash("seat", one);
    std::size_t best = 0;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < node_hashes.size(); ++i) {
        const auto score = rendezvous_score(key, node_hashes[i]);
        if (i == 0 || score > highest) {
            best = i;
            highest = score;
        }
    }
    return best;
}

} // namespace wigeonrill::quota
