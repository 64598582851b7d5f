#include "wigeonrill/config.h"

#include <algorithm>

namespace wigeonrill::config {

const service* find_service(const snapshot& configuration, const service_name& name) {
    const auto& all = configuration.services;
    const auto it = std::ranges::lower_bound(all, name, {}, &service::name);
    return it != all.end() && it->name == name ? &*it : nullptr;
}

} // namespace wigeonrill::config
