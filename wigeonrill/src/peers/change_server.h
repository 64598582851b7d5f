#ifndef WIGEONRILL_PEERS_CHANGE_SERVER_H
#define WIGEONRILL_PEERS_CHANGE_SERVER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Limits of the TCP service.
struct change_server_limits {
    std::size_t threads{3};           ///< requests served at once
    std::size_t connections{16};      ///< open connections; further ones wait in the backlog
    milliseconds io_timeout{2'000};   ///< silence of a client after which its connection is closed
    std::size_t request_bytes{4'096}; ///< largest request
};

/// \brief What the TCP service answers with. Called by the server's threads.
struct change_source {
    std::function<result<config::change_set>(std::uint64_t since)> changes;
    std::function<std::string()> status;               ///< JSON text
    std::function<bool(const std::string& ip)> admits; ///< empty: every address may connect
    std::function<void(std::size_t bytes)> sent;       ///< content bytes of an answer; may be empty
};

/// \brief Thrift service `changes_since` and `status` for other nodes.
class change_server {
public:
    /// \brief Binds and starts the service.
    /// \param address to bind, with port 0 for any free port
    /// \returns the running server, or an unavailable error that names the address
    [[nodiscard]] static result<std::unique_ptr<change_server>>
    start(const endpoint& address, change_source source, change_server_limits limits = {});

    change_server(const change_server&) = delete;
    change_server& operator=(const change_server&) = delete;
    /// \brief Closes all connections and waits for the threads.
    ~change_server();

    /// \returns the bound address
    [[nodiscard]] endpoint local() const;

private:
    struct state;
    explicit change_server(std::unique_ptr<state> running);

    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::peers

#endif
