#ifndef WIGEONRILL_DAEMON_ADMIN_SERVER_H
#define WIGEONRILL_DAEMON_ADMIN_SERVER_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Read-only queries of the administration port. Implementations are thread-safe.
class admin_queries {
public:
    admin_queries() = default;
    admin_queries(const admin_queries&) = delete;
    admin_queries& operator=(const admin_queries&) = delete;
    virtual ~admin_queries() = default;

    /// \returns whether the load balancer may send requests to this node
    [[nodiscard]] virtual bool ready() const = 0;
    /// \returns the metrics of this process in the Prometheus text format
    [[nodiscard]] virtual std::string metrics() const = 0;
    /// \returns the state of this node as a JSON object
    [[nodiscard]] virtual std::string status_json() const = 0;
    /// \returns all targets with their health state, weight and reason as a JSON array
    [[nodiscard]] virtual std::string targets_json() const = 0;
    /// \returns the configuration in force as a JSON object
    [[nodiscard]] virtual std::string config_json() const = 0;
    /// \brief Explains where a request would go now: its route, workspace and services, and the
    ///        state of each target with the reason. The request is not sent or counted.
    /// \returns a JSON object; not_found when no route matches, unavailable when the node has no
    ///          configuration yet
    [[nodiscard]] virtual result<std::string>
    explain_json(const dispatch::explained_request& request) const = 0;
};

/// \brief Commands of the administration port. Implementations are thread-safe.
class admin_commands {
public:
    admin_commands() = default;
    admin_commands(const admin_commands&) = delete;
    admin_commands& operator=(const admin_commands&) = delete;
    virtual ~admin_commands() = default;

    /// \brief Starts a graceful shutdown, as SIGTERM does, and returns at once.
    virtual void begin_shutdown() = 0;
};

/// \brief HTTP server of the administration port: health checks of the load balancer, metrics, and
///        queries of the command-line tool.
class admin_server {
public:
    /// \brief Binds the address and starts serving requests.
    /// \param queries, commands must outlive the server
    /// \returns the server, or unavailable when the address can't be bound
    [[nodiscard]] static result<std::unique_ptr<admin_server>>
    start(const endpoint& address, const admin_queries& queries, admin_commands& commands);

    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// \returns the bound port, which the system chooses when the address has port 0
    [[nodiscard]] std::uint16_t port() const;

private:
    struct state;
    explicit admin_server(std::unique_ptr<state> initial);

    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::daemon

#endif
