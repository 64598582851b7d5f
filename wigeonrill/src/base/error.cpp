#include "wigeonrill/base.h"

namespace wigeonrill {

std::string to_string(const error& failure) {
    return failure.remedy.empty() ? failure.message : failure.message + "; " + failure.remedy;
}

} // namespace wigeonrill
