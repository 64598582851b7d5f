#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

bool is_watcher(const endpoint& self, const std::vector<config::vm_record>& vms) {
    const auto own = std::ranges::find_if(vms, [&self](const config::vm_record& it) {
        return it.role == config::vm_role::node && it.address == self;
    });
    if (own == vms.end() || own->state != config::vm_state::live) {
        return false;
    }
    const auto key = stable_hash("watch/" + own->domain.value);
    const auto score = [key](const config::vm_record& it) {
        return rendezvous_score(key, stable_hash(to_string(it.address)));
    };
    const auto better = std::ranges::count_if(vms, [&](const config::vm_record& it) {
        return it.role == config::vm_role::node && it.state == config::vm_state::live &&
               it.domain == own->domain && score(it) > score(*own);
    });
    return better < static_cast<std::ptrdiff_t>(watchers_per_domain);
}

} // namespace wigeonrill::platform
