#include "wigeonrill/health.h"

namespace wigeonrill::health {

bool is_news_of_leaving(const verdict& it) {
    const bool is_taken_back = it.state == target_state::healthy && it.order != last_order;
    return it.state == target_state::leaving || is_taken_back;
}

bool is_later(const verdict& one, const verdict& other) {
    if (is_news_of_leaving(one) && is_news_of_leaving(other)) {
        return std::tie(one.about.started_ms, one.order) >
               std::tie(other.about.started_ms, other.order);
    }
    return one.sequence > other.sequence;
}

} // namespace wigeonrill::health
