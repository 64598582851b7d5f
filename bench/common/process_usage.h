#ifndef WIGEONRILL_BENCH_PROCESS_USAGE_H
#define WIGEONRILL_BENCH_PROCESS_USAGE_H

#include <cstdint>
#include <ctime>
#include <fstream>
#include <unistd.h>

namespace wigeonrill::bench {

/// \returns the processor time that this process has used so far, in seconds
[[nodiscard]] inline double cpu_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

/// \returns the resident memory of this process in bytes, from /proc/self/statm
[[nodiscard]] inline std::int64_t resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace wigeonrill::bench

#endif
