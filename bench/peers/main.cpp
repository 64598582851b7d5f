#include "bench.h"

#include <cstdlib>

// Usage: peers messages | changes | memory | budget | spread [smallest fleet [largest]]
int main(int argc, char** argv) {
    using namespace wigeonrill::peers::bench;
    const std::string benchmark = argc > 1 ? argv[1] : "";
    if (benchmark == "messages") {
        measure_messages();
    } else if (benchmark == "changes") {
        measure_changes();
    } else if (benchmark == "memory") {
        measure_memory();
    } else if (benchmark == "budget") {
        measure_budget();
    } else if (benchmark == "spread") {
        const auto number_argument = [&](int index, std::size_t default_value) {
            return argc > index ? std::strtoul(argv[index], nullptr, 10) : default_value;
        };
        constexpr std::size_t target_fleet_size = 3'700;
        measure_spread(number_argument(2, 0), number_argument(3, target_fleet_size));
    } else {
        std::fputs("usage: peers messages | changes | memory | budget | spread [smallest fleet "
                   "[largest]]\n",
                   stderr);
        return 2;
    }
    return 0;
}
