#include "wigeonrill/base.h"

#include <cstdio>
#include <cstdlib>

namespace wigeonrill::detail {

void assertion_failed(const char* condition, const char* message, const char* file,
                      int line) noexcept {
    std::fprintf(stderr, "%s:%d: assertion %s failed: %s\n", file, line, condition, message);
    std::abort();
}

} // namespace wigeonrill::detail
