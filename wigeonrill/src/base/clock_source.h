#ifndef WIGEONRILL_BASE_CLOCK_SOURCE_H
#define WIGEONRILL_BASE_CLOCK_SOURCE_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Point in time on the monotonic clock; not comparable between processes.
using instant = std::chrono::steady_clock::time_point;

/// \brief Point in time on the wall clock of a VM; the wall clocks of two VMs differ.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// \brief Interface of a clock. Code that needs the time gets a clock passed, so that tests and
/// replays can control it.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;

    /// \returns the monotonic time
    [[nodiscard]] virtual instant now() const = 0;
    /// \returns the wall-clock time
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// \brief Clock of the operating system.
class system_clock_source final : public clock_source {
public:
    [[nodiscard]] instant now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// \brief Clock whose time changes only when a replay or test sets it.
class manual_clock_source final : public clock_source {
public:
    [[nodiscard]] instant now() const override { return now_; }
    [[nodiscard]] wall_time wall_now() const override { return wall_now_; }

    /// \brief Advances the monotonic and the wall clock.
    /// \param step duration to add
    void advance(nanoseconds step) {
        now_ += std::chrono::duration_cast<instant::duration>(step);
        wall_now_ += std::chrono::duration_cast<wall_time::duration>(step);
    }
    /// \brief Sets the wall clock without moving the monotonic clock.
    void set_wall(wall_time time) { wall_now_ = time; }

private:
    instant now_{};
    wall_time wall_now_{};
};

} // namespace wigeonrill

#endif
