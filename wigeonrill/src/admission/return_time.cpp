#include "wigeonrill/admission.h"

namespace wigeonrill::admission {

milliseconds return_time(nanoseconds wait, double draw) {
    const auto least = std::clamp(std::chrono::duration<double, std::milli>(wait),
                                  std::chrono::duration<double, std::milli>(min_return_time),
                                  std::chrono::duration<double, std::milli>(max_return_time));
    return std::min(std::chrono::ceil<milliseconds>(least * (1.0 + draw)), max_return_time);
}

} // namespace wigeonrill::admission
