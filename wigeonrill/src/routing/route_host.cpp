#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

std::string normalize_host(std::string_view host) {
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    std::string lower(host);
    std::ranges::transform(lower, lower.begin(), [](char it) {
        return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    });
    return lower;
}

} // namespace wigeonrill::routing
