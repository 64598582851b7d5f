#ifndef WIGEONRILL_TRAFFIC_SERVER_H
#define WIGEONRILL_TRAFFIC_SERVER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Settings of the HTTP server for callers.
struct server_options {
    endpoint listen{"127.0.0.1", 0};     ///< port 0: the system chooses, see server::port()
    std::string via{"wigeonrill"};       ///< name of this node in the Via header
    std::uint32_t max_connections{1024}; ///< connections beyond it are refused with 503
    std::uint32_t max_head_bytes{16'384};
    std::uint64_t max_body_bytes{std::uint64_t{1} << 30U}; ///< for routes without a lower limit
    milliseconds head_time{10'000};    ///< from the first byte of a request to the end of its head
    milliseconds body_idle{15'000};    ///< silence allowed between two pieces of a caller's body
    milliseconds idle{60'000};         ///< silence allowed between two requests
    milliseconds connect_time{1'000};  ///< for a connection to a target
    milliseconds request_time{60'000}; ///< deadline of requests that state none
    header_names names;
    /// Says whether an address belongs to a node of the fleet; only nodes may mark a request as
    /// forwarded. Called on traffic threads. Empty: no address does.
    std::function<bool(const std::string& ip)> is_peer;
    /// Receives one line per failed transfer. Called on traffic threads. Empty: no lines.
    std::function<void(const std::string& line)> log;
};

/// \brief HTTP/1.1 server for callers. Each connection is served by a thread of its own.
///
/// It parses and checks requests, carries out the steps that the dispatcher decides, and streams
/// the answers back.
class server {
public:
    /// \param decisions must outlive the server
    /// \param clock must outlive the server
    server(server_options options, dispatcher& decisions, const clock_source& clock);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// \brief Stops listening, breaks off the requests that remain, and waits for their threads.
    ~server();

    /// \brief Binds the address and starts to accept connections.
    /// \returns nothing, or unavailable when the address can't be bound
    [[nodiscard]] result<void> start();

    /// \brief Closes each connection after its current answer; still accepts new connections.
    void begin_drain();
    /// \brief Closes the listening socket and the connections that wait for a request.
    void stop_listening();
    /// \brief Waits until every caller connection has ended.
    /// \returns true when none is left, false when the deadline passed
    [[nodiscard]] bool wait_idle(instant deadline);

    /// \returns the port that is listened on, once started
    [[nodiscard]] std::uint16_t port() const;
    /// \returns the number of caller connections
    [[nodiscard]] std::size_t connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace wigeonrill::traffic

#endif
