#include "wigeonrill/quota.h"

namespace wigeonrill::quota {

std::size_t requests_of_one_ask(const std::vector<credit_request>& all) {
    constexpr std::size_t max_requests = 10;
    constexpr std::size_t max_bytes = 890;
    constexpr std::size_t bytes_without_name = 25;
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto& it : all) {
        bytes += bytes_without_name + it.workspace.value.size();
        if (count == max_requests || (count > 0 && bytes > max_bytes)) {
            break;
        }
        ++count;
    }
    return count;
}

} // namespace wigeonrill::quota
