#ifndef WIGEONRILL_BENCH_HOP_PROCESSES_H
#define WIGEONRILL_BENCH_HOP_PROCESSES_H

#include "wigeonrill/traffic.h"

#include <sys/types.h>

namespace wigeonrill::bench {

/// \brief Process of the benchmark that serves a port until it is ended.
class server_process {
public:
    /// \brief Forks; the child runs the function, which reports its port and doesn't return.
    ///
    /// Must be called before this process starts a thread.
    using body = std::function<void(const std::function<void(std::uint16_t)>& report)>;
    explicit server_process(const body& serve);
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;
    ~server_process();

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    /// \param name line of /proc/PID/status, such as VmRSS
    /// \returns its value in KB
    [[nodiscard]] long memory_kb(const std::string& name) const;

private:
    pid_t pid_{0};
    std::uint16_t port_{0};
};

/// \brief Runs a target that answers each request at once with a body of 200 bytes.
void run_target(const std::function<void(std::uint16_t)>& report);
/// \brief Runs the proxy in front of one target.
void run_proxy(const endpoint& target, const std::function<void(std::uint16_t)>& report);

} // namespace wigeonrill::bench

#endif
