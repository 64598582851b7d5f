#ifndef WIGEONRILL_BENCH_HOP_PROCESSES_H
#define WIGEONRILL_BENCH_HOP_PROCESSES_H

#include "wigeonrill/traffic.h"

#include <sys/types.h>

namespace wigeonrill::bench {

/// \brief Child process that serves a port until the destructor kills it.
class server_process {
public:
    /// \brief Function that a child process runs: it reports its port and doesn't return.
    using serve_function =
        std::function<void(const std::function<void(std::uint16_t)>& report_port)>;
    /// \brief Forks and waits until the child has reported its port.
    ///
    /// Must be called before this process starts a thread.
    explicit server_process(const serve_function& serve);
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;
    ~server_process();

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    /// \param name line of /proc/PID/status, such as VmRSS
    /// \returns the value of this line in KB, or 0 when the line is missing
    [[nodiscard]] long memory_kb(const std::string& name) const;

private:
    pid_t pid_{0};
    std::uint16_t port_{0};
};

/// \brief Runs a target that answers each request at once with a body of 200 bytes; doesn't return.
void run_target(const std::function<void(std::uint16_t)>& report_port);
/// \brief Runs the proxy in front of one target; doesn't return.
void run_proxy(const endpoint& target, const std::function<void(std::uint16_t)>& report_port);

} // namespace wigeonrill::bench

#endif
