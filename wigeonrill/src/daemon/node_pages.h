#ifndef WIGEONRILL_DAEMON_NODE_PAGES_H
#define WIGEONRILL_DAEMON_NODE_PAGES_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Identity of the node for its pages.
struct node_identity {
    std::string name; ///< traffic address
    domain_name domain;
    std::uint64_t incarnation{0};
    instant started{};
};

/// \brief Answers the administration port from the state that the control thread published.
class node_pages final : public admin_queries {
public:
    /// \param loop must outlive this object, as must all references
    node_pages(node_identity identity, const control_loop& loop, control_thread& control,
               const dispatch::request_dispatcher& dispatcher,
               const observe::metric_registry& metrics, const clock_source& clock);

    /// \brief Takes the node out of the balancer's rotation, for good.
    void set_draining() { draining_ = true; }
    /// \brief Allows readiness once the start is complete (configuration read, listening).
    void set_started() { started_ = true; }

    [[nodiscard]] bool ready() const override;
    [[nodiscard]] std::string metrics() const override;
    [[nodiscard]] std::string status_json() const override;
    [[nodiscard]] std::string targets_json() const override;
    [[nodiscard]] std::string config_json() const override;
    [[nodiscard]] result<std::string> explain_json(const std::string& method,
                                                   const std::string& host,
                                                   const std::string& path) const override;

private:
    node_identity identity_;
    const control_loop& loop_; ///< only its published state
    control_thread& control_;
    const dispatch::request_dispatcher& dispatcher_;
    const observe::metric_registry& metrics_;
    const clock_source& clock_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> started_{false};
};

} // namespace wigeonrill::daemon

#endif
