#include "wigeonrill/peers.h"

#include <thrift/TOutput.h>

namespace wigeonrill::peers::detail {

void disable_thrift_output() {
    static const bool done = [] {
        apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
        return true;
    }();
    static_cast<void>(done);
}

} // namespace wigeonrill::peers::detail
