#ifndef WIGEONRILL_DAEMON_NODE_ADMIN_QUERIES_H
#define WIGEONRILL_DAEMON_NODE_ADMIN_QUERIES_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Identity of this node as the administration port shows it.
struct node_identity {
    std::string name; ///< address of the traffic port
    domain_name domain;
    std::uint64_t incarnation{0}; ///< differs between all processes of this node
    instant started{};            ///< start of the node, from which its uptime counts
};

/// \brief Answers the queries of the administration port from the published state of the node and,
///        for the list of targets, through the control thread.
class node_admin_queries final : public admin_queries {
public:
    /// All references must outlive this object.
    node_admin_queries(node_identity identity, const control_loop& loop, control_thread& control,
                       const dispatch::request_dispatcher& dispatcher,
                       const observe::metric_registry& metrics, const clock_source& clock);

    /// \brief Makes the node permanently not ready, so that the load balancer removes it.
    void set_draining() { draining_ = true; }
    /// \brief Allows the node to be ready. Called when start-up is complete: the configuration
    ///        file, if any, is read and all ports are open.
    void set_started() { started_ = true; }

    [[nodiscard]] bool ready() const override;
    [[nodiscard]] std::string metrics() const override;
    [[nodiscard]] std::string status_json() const override;
    [[nodiscard]] std::string targets_json() const override;
    [[nodiscard]] std::string config_json() const override;
    [[nodiscard]] result<std::string>
    explain_json(const dispatch::explained_request& request) const override;

private:
    node_identity identity_;
    const control_loop& loop_; ///< used only for state(), which is thread-safe
    control_thread& control_;
    const dispatch::request_dispatcher& dispatcher_;
    const observe::metric_registry& metrics_;
    const clock_source& clock_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> started_{false};
};

} // namespace wigeonrill::daemon

#endif
