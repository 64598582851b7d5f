#include "wigeonrill/admission.h"

namespace wigeonrill::admission {

std::size_t serving_turns::next(std::size_t waiting) const {
    std::size_t index = 0;
    for (auto n = places_ + 1; index + 1 < waiting && n % places_per_turn == 0;
         n /= places_per_turn) {
        ++index;
    }
    return index;
}

void serving_turns::on_served(std::size_t due, std::size_t served, std::size_t waiting) {
    if (waiting > 1 && served >= due) {
        ++places_;
    }
}

} // namespace wigeonrill::admission
