#include "wigeonrill/health.h"

namespace wigeonrill::health {

bool is_later(const verdict& one, const verdict& other) {
    if (one.state == target_state::leaving && other.state == target_state::leaving) {
        return one.about > other.about;
    }
    return one.sequence > other.sequence;
}

} // namespace wigeonrill::health
