#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

std::pair<std::uint64_t, const std::string*> order_of(const std::string& id) {
    return {stable_hash(id), &id};
}

bool comes_before(const std::pair<std::uint64_t, const std::string*>& a,
                  const std::pair<std::uint64_t, const std::string*>& b) {
    return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
}

} // namespace

node_group choose_node_group(const node_id& self, std::vector<node_id> live) {
    if (std::ranges::find(live, self) == live.end()) {
        live.push_back(self);
    }
    const std::size_t n = live.size();
    const std::size_t groups = (n + max_group_nodes - 1) / max_group_nodes;
    std::vector<std::pair<std::uint64_t, const std::string*>> order;
    order.reserve(n);
    for (const auto& it : live) {
        order.push_back(order_of(it.value));
    }
    std::ranges::sort(order, comes_before);
    const auto own = std::ranges::lower_bound(order, order_of(self.value), comes_before);
    const auto own_rank = static_cast<std::size_t>(own - order.begin());
    node_group found;
    found.position.index = own_rank * groups / n;
    found.position.count = groups;
    for (std::size_t rank = 0; rank < n; ++rank) {
        if (rank != own_rank && rank * groups / n == found.position.index) {
            found.others.emplace_back(*order[rank].second);
        }
    }
    found.position.nodes = found.others.size() + 1;
    return found;
}

std::vector<bool> choose_target_slice(std::span<const config::target> targets,
                                      const group_position& group) {
    const std::size_t n = targets.size();
    std::vector<bool> slice(n, true);
    if (group.count == 1 || n <= min_slice_targets) {
        return slice;
    }
    std::vector<std::size_t> order(n);
    for (std::size_t i = 0; i < n; ++i) {
        order[i] = i;
    }
    std::ranges::sort(order, comes_before,
                      [&](std::size_t i) { return order_of(targets[i].id.value); });
    // The slices divide the ordered targets evenly. A slice that would be too small grows on both
    // sides, beyond the ends too, and then overlaps with others.
    const std::size_t begin = group.index * n / group.count;
    const std::size_t end = (group.index + 1) * n / group.count;
    const std::size_t missing = min_slice_targets - std::min(min_slice_targets, end - begin);
    const std::size_t first = begin + n - missing / 2;
    slice.assign(n, false);
    for (std::size_t i = 0; i < end - begin + missing; ++i) {
        slice[order[(first + i) % n]] = true;
    }
    return slice;
}

} // namespace wigeonrill::routing
