#ifndef WIGEONRILL_ADMISSION_PRIORITY_GATE_H
#define WIGEONRILL_ADMISSION_PRIORITY_GATE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Decides which priorities of new requests a service takes while it is overloaded. Not
///        thread-safe.
///
/// Load pattern: more requests of several priorities arrive at many nodes than the targets can
/// serve, and no node sees a queue of its own from which it could tell. All nodes that know the
/// same counts of outstanding requests turn away the same priorities, the least urgent first, step
/// by step as in DAGOR (Zhou et al. 2018). The most urgent priority is never turned away here.
/// Unlike the credits of Breakwater (Cho et al. 2020), no message is needed.
class priority_gate {
public:
    /// Requests per slot from which on one more priority is turned away in each step.
    static constexpr double closing_level = 1.2;
    /// Requests per slot below which one more priority is taken in each step.
    static constexpr double opening_level = 0.9;
    /// Time between two steps: long enough for a step to show in the counts of the nodes.
    static constexpr milliseconds step_interval{100};
    /// Most steps until all priorities are taken again.
    static constexpr std::size_t max_opening_steps = 8;
    /// Time for which a priority counts as in use after its last request.
    static constexpr seconds in_use_for{5};

    /// \brief Records a new request.
    void on_request(std::uint32_t priority, instant now);
    /// \returns true when the next call of update() has an effect
    [[nodiscard]] bool is_due(instant now) const { return now >= next_step_; }
    /// \brief Takes a step.
    /// \param level outstanding requests per slot; 0 when it isn't known
    void update(double level, instant now);
    /// \returns true when new requests of a priority are to be turned away
    [[nodiscard]] bool turns_away(std::uint32_t priority) const;
    /// \returns true when any priority is turned away
    [[nodiscard]] bool is_closed() const { return closed_ > 0; }
    /// \returns the requests per slot at the last step
    [[nodiscard]] double level() const { return level_; }

private:
    std::map<std::uint32_t, instant> last_seen_; ///< by priority
    std::size_t closed_{0};                      ///< number of the least urgent ones turned away
    std::size_t opening_step_{1};                ///< priorities taken again in each step
    double level_{0.0};
    instant next_step_{instant::min()};
};

} // namespace wigeonrill::admission

#endif
