#ifndef WIGEONRILL_REPLAY_BASELINE_POLICIES_H
#define WIGEONRILL_REPLAY_BASELINE_POLICIES_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Base of baseline detectors that judge a target by the answers to one node only.
///
/// A node ejects a target for 30 s after a number of bad answers in a row. The product's ejection
/// policy keeps the service's floor. Probes and requests without an answer are ignored.
class single_node_policy : public policy {
public:
    void start(const std::vector<health::fleet_node>& nodes) override;
    void configure(const config::snapshot_ptr& configuration, instant now) override;
    void on_answer(std::uint32_t node, const health::answer& ended) override;
    void on_outstanding(std::uint32_t, const health::answer&, nanoseconds) override {}
    void on_probe(std::uint32_t, const health::answer&) override {}
    void on_leaving(const target_id& target, instant now) override;
    tick_outcome tick(std::uint32_t node, instant now) override;
    [[nodiscard]] const health::ejection_plan& plan(std::uint32_t node,
                                                    const service_name& service) const override;
    [[nodiscard]] bool is_sick(std::uint32_t node, const service_name& service,
                               const target_id& target) const override;

protected:
    /// \returns whether an answer counts as bad; one that isn't ends a run of bad answers
    [[nodiscard]] virtual bool is_bad(const health::answer& ended) const = 0;
    /// \returns the number of bad answers in a row that ejects a target
    [[nodiscard]] virtual int trip_count() const = 0;

private:
    struct failure_record {
        int consecutive_bad{0};  ///< bad answers since the last good one or the last ejection
        instant ejected_until{}; ///< default value: not ejected
    };
    using target_key = std::pair<service_name, target_id>;

    struct node_state {
        std::map<target_key, failure_record> failure_records;
        std::map<service_name, health::ejection_plan> plans;
        std::vector<health::answer> answers; ///< received since the last tick
        bool plans_outdated{true};           ///< the plans must be rebuilt at the next tick
    };

    void rebuild_plans(node_state& node, instant now);

    std::vector<node_state> nodes_;
    std::map<target_id, bool> leaving_; ///< targets that are about to stop
    config::snapshot_ptr configuration_;
};

/// \brief Baseline that ejects a target after five failed answers in a row.
class consecutive_errors final : public single_node_policy {
public:
    [[nodiscard]] std::string name() const override { return "consecutive errors"; }

protected:
    [[nodiscard]] bool is_bad(const health::answer& ended) const override;
    [[nodiscard]] int trip_count() const override { return 5; }
};

/// \brief Baseline that ejects a target after three answers in a row that failed or were slow.
class fixed_latency final : public single_node_policy {
public:
    /// \param limit an answer that took longer is slow
    explicit fixed_latency(milliseconds limit = milliseconds(250)) : limit_(limit) {}
    [[nodiscard]] std::string name() const override { return "fixed latency"; }

protected:
    [[nodiscard]] bool is_bad(const health::answer& ended) const override;
    [[nodiscard]] int trip_count() const override { return 3; }

private:
    milliseconds limit_;
};

} // namespace wigeonrill::replay

#endif
