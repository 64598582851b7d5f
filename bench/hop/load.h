#ifndef WIGEONRILL_BENCH_HOP_LOAD_H
#define WIGEONRILL_BENCH_HOP_LOAD_H

#include "wigeonrill/base.h"

#include <memory>
#include <vector>

namespace wigeonrill::bench {

/// \brief Times in milliseconds.
using samples = std::vector<double>;

/// \returns the value below which the share of the samples lies
[[nodiscard]] double percentile(samples values, double share);

/// \brief Kept connections that each send requests at a fixed rate.
class load {
public:
    /// \brief Opens the connections.
    load(const endpoint& address, int connections);
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    ~load();

    /// \brief Sends requests, spread evenly over the connections, and waits for their end.
    /// \param per_second rate over all connections
    /// \returns the time of each request from its first byte to the last byte of the answer
    [[nodiscard]] samples run(double per_second, seconds duration);

private:
    struct connection;
    std::vector<std::unique_ptr<connection>> connections_;
};

/// \brief Opens connections at the same time and sends one request on each.
/// \returns the time of each from the start of its connect to the last byte of the answer
[[nodiscard]] samples burst(const endpoint& address, int connections);

} // namespace wigeonrill::bench

#endif
