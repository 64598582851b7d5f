#ifndef WIGEONRILL_REPLAY_MONITOR_POLICY_H
#define WIGEONRILL_REPLAY_MONITOR_POLICY_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Detector of the product: one health::monitor per node.
///
/// Evidence reports and verdicts between the nodes arrive after a fixed delay; none is lost.
class monitor_policy final : public policy {
public:
    /// \param tick_period time between two ticks of a node
    /// \param message_delay time that a message between two nodes takes
    explicit monitor_policy(milliseconds tick_period, milliseconds message_delay);
    ~monitor_policy() override;

    [[nodiscard]] std::string name() const override { return "wigeonrill"; }
    void start(const std::vector<health::fleet_node>& nodes) override;
    void configure(const config::snapshot_ptr& configuration, instant now) override;
    void on_answer(std::uint32_t node, const health::answer& ended) override;
    void on_outstanding(std::uint32_t node, const health::answer& waiting,
                        nanoseconds age) override;
    void on_probe(std::uint32_t node, const health::answer& ended) override;
    void on_leaving(const target_id& target, instant now) override;
    tick_outcome tick(std::uint32_t node, instant now) override;
    [[nodiscard]] const health::ejection_plan& plan(std::uint32_t node,
                                                    const service_name& service) const override;
    [[nodiscard]] bool is_sick(std::uint32_t node, const service_name& service,
                               const target_id& target) const override;

    /// \returns the number of evidence reports that all nodes have sent so far
    [[nodiscard]] std::uint64_t reports_sent() const { return reports_sent_; }
    /// \returns the number of probes that all nodes have requested so far
    [[nodiscard]] std::uint64_t probes_sent() const { return probes_sent_; }
    /// \returns the log lines of all nodes since keep_log(); empty without it
    [[nodiscard]] const std::vector<std::string>& log() const { return log_; }
    /// \brief Turns on the collection of log lines, which is off by default.
    void keep_log() { keeps_log_ = true; }

private:
    struct message;

    /// \brief Passes the messages that are due to the node's monitor.
    void deliver_messages(std::uint32_t node, instant now);
    /// \brief Queues the reports and verdicts of a tick for their receivers.
    void send_messages(const health::monitor_actions& actions, instant now);

    milliseconds tick_period_;
    milliseconds message_delay_;
    std::vector<std::unique_ptr<health::monitor>> monitors_;
    std::map<node_id, std::uint32_t> node_indexes_;
    std::vector<std::vector<message>> inboxes_;
    std::vector<std::map<service_name, health::ejection_plan>> plans_;
    config::snapshot_ptr configuration_;
    std::uint64_t reports_sent_{0};
    std::uint64_t probes_sent_{0};
    bool keeps_log_{false};
    std::vector<std::string> log_;
};

} // namespace wigeonrill::replay

#endif
