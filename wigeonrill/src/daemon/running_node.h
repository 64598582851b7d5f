#ifndef WIGEONRILL_DAEMON_RUNNING_NODE_H
#define WIGEONRILL_DAEMON_RUNNING_NODE_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief A started node, which owns and connects all its components.
class running_node final : public admin_commands {
public:
    /// \brief Reads the configuration file, if any, binds the addresses and starts the threads.
    /// \param signals receives a request to stop on POST /drain; must outlive the node
    /// \returns the node, or the reason why it can't start
    [[nodiscard]] static result<std::unique_ptr<running_node>>
    start(const settings& node_settings, const platform_binding& binding, process_signals& signals);

    running_node(const running_node&) = delete;
    running_node& operator=(const running_node&) = delete;
    ~running_node() override;

    /// \brief Confirms the version of the configuration file, if the node has one. Must be called
    ///        periodically, because no platform confirms that version.
    void confirm_file_version();
    /// \brief Closes idle connections to targets that can't be used again. Must be called
    ///        periodically.
    void close_unusable_connections();
    /// \brief Reads the configuration file again, if the node has one. When it is invalid, the
    ///        version in force stays.
    void reload();
    /// \brief Shuts down gracefully: the node becomes not ready, accepts connections for accept_for
    ///        and then waits up to finish_within for its requests.
    /// \param signals polled for a second SIGINT, which ends the shutdown at once
    /// \returns false when requests were aborted or a second SIGINT arrived
    [[nodiscard]] bool shut_down(process_signals& signals);
    /// \returns whether a newer process runs at the peer address of this node
    [[nodiscard]] bool superseded() const;

    void begin_shutdown() override;

private:
    struct components;
    explicit running_node(std::unique_ptr<components> initial);

    std::unique_ptr<components> components_;
};

} // namespace wigeonrill::daemon

#endif
