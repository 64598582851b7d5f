#ifndef WIGEONRILL_REPLAY_POLICY_H
#define WIGEONRILL_REPLAY_POLICY_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Result of one tick of a node.
struct tick_outcome {
    std::vector<health::probe_request> probes; ///< probes to send now
    bool plans_changed{false}; ///< whether a plan or a target's state changed in this tick
};

/// \brief Detection policy under test, running on all nodes of a fleet.
///
/// The replay feeds it the recorded events. Nodes are numbered by their position in the trace.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// \returns the name of the policy in reports
    [[nodiscard]] virtual std::string name() const = 0;
    /// \brief Initializes the policy with the nodes of a trace; called once, before all others.
    virtual void start(const std::vector<health::fleet_node>& nodes) = 0;
    /// \brief Applies a configuration on all nodes.
    virtual void configure(const config::snapshot_ptr& configuration, instant now) = 0;
    /// \brief Reports an attempt of a node that ended.
    virtual void on_answer(std::uint32_t node, const health::answer& ended) = 0;
    /// \brief Reports a request of a node that still waits for its answer.
    ///
    /// Called before each tick of the node, for each such request.
    /// \param age time since the request was sent
    virtual void on_outstanding(std::uint32_t node, const health::answer& waiting,
                                nanoseconds age) = 0;
    /// \brief Reports the result of a probe that the node asked for.
    virtual void on_probe(std::uint32_t node, const health::answer& ended) = 0;
    /// \brief Reports to all nodes that a target is about to stop.
    virtual void on_leaving(const target_id& target, instant now) = 0;
    /// \brief Evaluates the events that a node received since its previous tick.
    virtual tick_outcome tick(std::uint32_t node, instant now) = 0;
    /// \returns the targets of a service that the node may use, with their weights
    [[nodiscard]] virtual const health::ejection_plan& plan(std::uint32_t node,
                                                            const service_name& service) const = 0;
    /// \returns whether the node regards the target as sick
    [[nodiscard]] virtual bool is_sick(std::uint32_t node, const service_name& service,
                                       const target_id& target) const = 0;
};

} // namespace wigeonrill::replay

#endif
