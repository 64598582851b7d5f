#ifndef WIGEONRILL_REPLAY_BASELINE_POLICIES_H
#define WIGEONRILL_REPLAY_BASELINE_POLICIES_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Base of detectors that judge each target by the answers of one node alone.
///
/// A target that trips is ejected for 30 s on that node, under the same floor as the product's.
class local_policy : public policy {
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
    /// \returns whether an answer counts towards tripping
    [[nodiscard]] virtual bool is_bad(const health::answer& ended) const = 0;
    /// \returns bad answers in a row that trip
    [[nodiscard]] virtual int needed() const = 0;

private:
    struct track {
        int bad{0};
        instant ejected_until{};
    };
    using key = std::pair<service_name, target_id>;

    struct node_state {
        std::map<key, track> tracks;
        std::map<service_name, health::ejection_plan> plans;
        std::vector<health::answer> answers;
        bool changed{true};
    };

    void make_plans(node_state& node, instant now);

    std::vector<node_state> nodes_;
    std::map<target_id, bool> leaving_;
    config::snapshot_ptr configuration_;
};

/// \brief Ejects after five failed answers in a row.
class consecutive_errors final : public local_policy {
public:
    [[nodiscard]] std::string name() const override { return "consecutive errors"; }

protected:
    [[nodiscard]] bool is_bad(const health::answer& ended) const override;
    [[nodiscard]] int needed() const override { return 5; }
};

/// \brief Ejects after three answers in a row that failed or took longer than a fixed time.
class fixed_latency final : public local_policy {
public:
    explicit fixed_latency(milliseconds limit = milliseconds(250)) : limit_(limit) {}
    [[nodiscard]] std::string name() const override { return "fixed latency"; }

protected:
    [[nodiscard]] bool is_bad(const health::answer& ended) const override;
    [[nodiscard]] int needed() const override { return 3; }

private:
    milliseconds limit_;
};

} // namespace wigeonrill::replay

#endif
