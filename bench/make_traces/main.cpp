// Generates the small example traces in the folder traces/, or in the folder given as argument. The
// seed is fixed, so each run writes the same files.
#include "wigeonrill/replay.h"

#include <fstream>

using namespace wigeonrill;
using namespace wigeonrill::replay;

namespace {

// Returns a site so small that a trace of half a minute has enough answers of each target for the
// nodes to learn their baselines.
site_shape small_site() {
    auto shape = scotland();
    shape.services = 1;
    shape.targets_per_service = 8;
    shape.nodes = 4;
    return shape;
}

void write_file(const std::string& path, seconds duration,
                const std::vector<planned_fault>& faults) {
    std::ofstream out(path);
    write_trace(generate_trace(small_site(), duration, faults, 11), out);
}

} // namespace

int main(int argc, char** argv) {
    const std::string folder = argc > 1 ? argv[1] : "traces";
    const auto at = [](int second) { return instant(seconds(second)); };
    write_file(folder + "/slow-target.jsonl", seconds(28),
               {{fault_kind::slow_10, 3, at(20), at(26)}});
    write_file(
        folder + "/troubled-node.jsonl", seconds(28),
        {{fault_kind::own_pause, 1, at(18), at(20)}, {fault_kind::bad_link, 2, at(22), at(28)}});
    return 0;
}
