#ifndef WIGEONRILL_BENCH_HOP_LOAD_H
#define WIGEONRILL_BENCH_HOP_LOAD_H

#include "wigeonrill/base.h"

#include <memory>
#include <vector>

namespace wigeonrill::bench {

/// \brief Measured times in milliseconds.
using samples = std::vector<double>;

/// \brief Calculates a percentile.
/// \param share share of the samples that lie below it, from 0 to 1
/// \returns the value of the percentile; the samples must not be empty
[[nodiscard]] double percentile(samples values, double share);

/// \brief Sends requests at a fixed rate over persistent connections.
class load_generator {
public:
    /// \brief Opens the connections and sends one request on each, which is not measured.
    load_generator(const endpoint& address, int connections);
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;
    ~load_generator();

    /// \brief Sends requests evenly spread over the connections, and waits for all answers.
    /// \param per_second number of requests per second over all connections
    /// \param duration time during which requests are sent
    /// \returns the time of each request from its first byte to the last byte of the answer
    [[nodiscard]] samples run(double per_second, seconds duration);

private:
    struct connection;
    std::vector<std::unique_ptr<connection>> connections_;
};

/// \brief Sends uploads one after the other over each of several connections at the same time.
/// \param uploads number of uploads of each connection
/// \param body_bytes size of the body of an upload
/// \returns megabytes of bodies per second over all connections
[[nodiscard]] double measure_uploads(const endpoint& address, int connections, int uploads,
                                     std::size_t body_bytes);

/// \brief Opens connections at the same time and sends one request on each.
/// \returns the time of each from the start of its connect to the last byte of the answer
[[nodiscard]] samples measure_burst(const endpoint& address, int connections);

} // namespace wigeonrill::bench

#endif
