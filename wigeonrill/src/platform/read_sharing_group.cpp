#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

read_sharing_group choose_read_sharing_group(const node_id& self,
                                             const std::vector<node_id>& live) {
    const auto groups =
        live.size() <= 2 * usual_group_size ? 1 : live.size() / usual_group_size + 1;
    const auto own_hash = stable_hash(self.value);
    read_sharing_group group;
    for (const auto& it : live) {
        const auto hash = stable_hash(it.value);
        if (it == self || hash % groups != own_hash % groups) {
            continue;
        }
        group.others.push_back(it);
        const bool before = std::tie(hash, it.value) < std::tie(own_hash, self.value);
        group.rank += before ? 1 : 0;
    }
    return group;
}

} // namespace wigeonrill::platform
