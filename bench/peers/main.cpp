#include "bench.h"

#include <cstdlib>

// Usage: peers messages | changes | memory | budget | spread [smallest fleet [largest]]
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
        const auto number = [&](int index, std::size_t otherwise) {
            return argc > index ? std::strtoul(argv[index], nullptr, 10) : otherwise;
        };
        constexpr std::size_t target_size = 3'700;
        measure_spread(number(2, 0), number(3, target_size));
    } else {
        std::fputs("usage: peers messages | changes | memory | budget | spread [smallest fleet "
                   "[largest]]\n",
                   stderr);
        return 2;
    }
    return 0;
}
