#ifndef WIGEONRILL_DAEMON_RUNNING_NODE_H
#define WIGEONRILL_DAEMON_RUNNING_NODE_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief All parts of one started node, wired together.
class running_node final : public admin_commands {
public:
    /// \brief Reads the configuration, binds the addresses and starts the threads.
    /// \param signals told about a drain request of an operator; must outlive the node
    [[nodiscard]] static result<std::unique_ptr<running_node>>
    start(const settings& wanted, const platform_binding& binding, stop_signal& signals);

    running_node(const running_node&) = delete;
    running_node& operator=(const running_node&) = delete;
    ~running_node() override;

    /// \brief Confirms the version in force while a file of this VM is the configuration's source.
    void confirm_file();
    /// \brief Reads the configuration file again, if the node has one.
    void reload();
    /// \brief Graceful shutdown: readiness off, accept for a while, finish all requests.
    /// \param signals asked for a second SIGINT meanwhile
    /// \returns false when requests were cut
    [[nodiscard]] bool shut_down(stop_signal& signals);
    /// \returns whether a newer process runs at this node's peer address
    [[nodiscard]] bool superseded() const;

    void begin_shutdown() override;

private:
    struct parts;
    explicit running_node(std::unique_ptr<parts> initial);

    std::unique_ptr<parts> parts_;
};

} // namespace wigeonrill::daemon

#endif
