#ifndef WIGEONRILL_REPLAY_POLICY_H
#define WIGEONRILL_REPLAY_POLICY_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief What a node wants after a tick.
struct tick_outcome {
    std::vector<health::probe_request> probes;
    bool plans_changed{false}; ///< a plan or the state of a target differs from before the tick
};

/// \brief Detection on all nodes of a fleet, as the replay drives it.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// \returns its name in reports
    [[nodiscard]] virtual std::string name() const = 0;
    /// \brief Starts with the nodes of a trace.
    virtual void start(const std::vector<health::fleet_node>& nodes) = 0;
    /// \brief Takes over a configuration on all nodes.
    virtual void configure(const config::snapshot_ptr& configuration, instant now) = 0;
    /// \brief Adds an ended attempt at a node.
    virtual void on_answer(std::uint32_t node, const health::answer& ended) = 0;
    /// \brief Adds a request that waits at a node for its answer; called before each tick.
    virtual void on_outstanding(std::uint32_t node, const health::answer& waiting,
                                nanoseconds age) = 0;
    /// \brief Adds the result of a probe.
    virtual void on_probe(std::uint32_t node, const health::answer& ended) = 0;
    /// \brief Adds a notice that a target is about to stop.
    virtual void on_leaving(const target_id& target, instant now) = 0;
    /// \brief Judges the events of a node.
    virtual tick_outcome tick(std::uint32_t node, instant now) = 0;
    /// \returns the targets of a service that a node may use
    [[nodiscard]] virtual const health::ejection_plan& plan(std::uint32_t node,
                                                            const service_name& service) const = 0;
    /// \returns whether a node holds the target for sick
    [[nodiscard]] virtual bool is_sick(std::uint32_t node, const service_name& service,
                                       const target_id& target) const = 0;
};

} // namespace wigeonrill::replay

#endif
