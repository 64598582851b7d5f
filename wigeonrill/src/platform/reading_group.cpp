#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

reading_group group_of(const node_id& self, const std::vector<node_id>& live) {
    const auto groups =
        live.size() <= 2 * usual_group_size ? 1 : live.size() / usual_group_size + 1;
    const auto own = stable_hash(self.value);
    reading_group made;
    for (const auto& it : live) {
        const auto hash = stable_hash(it.value);
        if (it == self || hash % groups != own % groups) {
            continue;
        }
        made.others.push_back(it);
        const bool before = std::tie(hash, it.value) < std::tie(own, self.value);
        made.rank += before ? 1 : 0;
    }
    return made;
}

} // namespace wigeonrill::platform
