#ifndef WIGEONRILL_PEERS_CHANGE_SERVER_H
#define WIGEONRILL_PEERS_CHANGE_SERVER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Limits of the TCP service for other nodes.
struct change_server_limits {
    /// Connections that are served concurrently. More than transfers, so that a call can be refused
    /// while others are sending over a full link.
    std::size_t threads{8};
    std::size_t connections{16};      ///< open connections; further ones wait in the listen backlog
    milliseconds io_timeout{2'000};   ///< a connection without traffic for this long is closed
    std::size_t request_bytes{4'096}; ///< largest accepted size of a request
    /// Calls for changes at a time. Each further one is refused if its caller allows it, and waits
    /// otherwise. Few, since the callers whose calls end are sources for the others.
    std::size_t transfers{2};
    /// Longest time that one of these waits until the others have ended. One after another over the
    /// whole link, the first ends in half the time; after this time they share the link, so that a
    /// client that doesn't read holds up no other.
    milliseconds turn{500};
    /// Longest time that a call waits; the time limit of older builds for a call.
    milliseconds wait{10'000};
};

/// \brief Callbacks of the TCP service; called concurrently by the threads of the server.
struct change_server_callbacks {
    /// \brief Returns the configuration changes for a caller that has this base.
    std::function<result<config::change_set>(const config::change_base& base)> changes;
    /// \brief Returns the status of this node as JSON text.
    std::function<std::string()> status;
    /// \brief Returns whether an IP address may connect; if empty, every address may.
    std::function<bool(const std::string& ip)> accepts_address;
    /// \brief Called with the number of content bytes in an answer with changes; may be empty.
    std::function<void(std::size_t bytes)> on_answer_sent;
    /// \brief Called when a call is refused because too many are under way; may be empty.
    std::function<void()> on_busy{};
};

/// \brief TCP server of the Thrift service with the calls `changes_since` and `status`.
class change_server {
public:
    /// \brief Binds the address and starts the server's threads.
    /// \param address local address to bind; port 0 selects any free port
    /// \returns the running server, or an unavailable error that names the address
    [[nodiscard]] static result<std::unique_ptr<change_server>>
    start(const endpoint& address, change_server_callbacks source,
          change_server_limits limits = {});

    change_server(const change_server&) = delete;
    change_server& operator=(const change_server&) = delete;
    /// \brief Closes all connections and joins the threads.
    ~change_server();

    /// \returns the bound address, with the actual port
    [[nodiscard]] endpoint local() const;

private:
    struct state;
    explicit change_server(std::unique_ptr<state> running);

    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::peers

#endif
