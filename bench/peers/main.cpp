#include "bench.h"

#include <cstdlib>
#include <cstring>

// Usage: peers messages | changes | memory | budget | spread [largest fleet]
int main(int argc, char** argv) {
    using namespace wigeonrill::peers::bench;
    const std::string part = argc > 1 ? argv[1] : "";
    if (part == "messages") {
        measure_messages();
    } else if (part == "changes") {
        measure_changes();
    } else if (part == "memory") {
        measure_memory();
    } else if (part == "budget") {
        measure_budget();
    } else if (part == "spread") {
        constexpr std::size_t target_size = 3'700;
        measure_spread(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : target_size);
    } else {
        std::fputs("usage: peers messages | changes | memory | budget | spread [largest fleet]\n",
                   stderr);
        return 2;
    }
    return 0;
}
