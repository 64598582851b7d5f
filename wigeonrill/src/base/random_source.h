#ifndef WIGEONRILL_BASE_RANDOM_SOURCE_H
#define WIGEONRILL_BASE_RANDOM_SOURCE_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Interface of a random number generator. Code that needs random numbers gets one passed,
/// so that tests and replays are reproducible.
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    virtual ~random_source() = default;

    /// \returns 64 uniformly distributed bits
    [[nodiscard]] virtual std::uint64_t next() = 0;

    /// \param bound exclusive upper bound, at least 1
    /// \returns a uniformly distributed number in [0, bound)
    [[nodiscard]] std::uint64_t next_below(std::uint64_t bound);

    /// \returns a uniformly distributed number in [0, 1)
    [[nodiscard]] double uniform();
};

/// \brief Deterministic SplitMix64 generator (Steele, Lea and Flood 2014).
class seeded_random_source final : public random_source {
public:
    explicit seeded_random_source(std::uint64_t seed) : state_(seed) {}
    [[nodiscard]] std::uint64_t next() override;

private:
    std::uint64_t state_;
};

} // namespace wigeonrill

#endif
