#ifndef WIGEONRILL_TRAFFIC_SERVER_H
#define WIGEONRILL_TRAFFIC_SERVER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Settings of the HTTP server for callers.
struct server_options {
    endpoint listen{"127.0.0.1", 0};     ///< port 0 lets the system choose, see server::port()
    std::string via{"wigeonrill"};       ///< name of this node in the Via header
    std::uint32_t max_connections{1024}; ///< requests on further connections are refused with 503
    std::uint32_t max_head_bytes{16'384};
    std::uint64_t max_body_bytes{std::uint64_t{1} << 30U}; ///< limit for routes without a lower one
    /// Memory that all requests share for bodies of more than 64 KiB. A body for which it has no
    /// room is streamed, and can be sent to one target only.
    std::uint64_t body_memory_bytes{std::uint64_t{8} << 20U};
    milliseconds head_time{10'000}; ///< limit for a head, from its first byte
    milliseconds body_idle{15'000}; ///< longest time without progress while a caller's body is read
    milliseconds idle{60'000};      ///< longest wait for the next request on a connection
    milliseconds connect_time{1'000};  ///< limit for opening a connection to a target or node
    milliseconds request_time{60'000}; ///< upper bound and default of the limit of a request
    header_names names;
    /// Tells who sent a request that is marked as passed on by a node, by the address that it came
    /// from. Called on the threads that serve callers. If empty, no address is a known node's.
    std::function<request_sender(const std::string& ip)> identify_node;
    /// Receives one line for each refused request or failed attempt. Called on the threads that
    /// serve callers. If empty, nothing is logged.
    std::function<void(const std::string& line)> log;
};

/// \brief HTTP/1.1 server for callers. Each connection is served by a separate thread.
///
/// The server parses and checks requests, performs the steps that the dispatcher decides, and
/// streams the answers to the callers.
class server {
public:
    /// \param decisions decides how requests are handled; must outlive the server
    /// \param clock must outlive the server
    server(server_options options, dispatcher& decisions, const clock_source& clock);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// \brief Stops listening, aborts the remaining connections and waits for their threads.
    ~server();

    /// \brief Binds the address and starts to accept connections.
    /// \returns an error of kind unavailable when the address can't be bound
    [[nodiscard]] result<void> start();

    /// \brief Closes idle connections to targets that expired or on which bytes arrived. To be
    ///        called about every second, so that a target that sends on is let go without traffic.
    void close_unusable_connections();
    /// \brief Makes the server close each connection after an answer behind which no further
    /// request has arrived. New connections are still accepted.
    /// \param answer_by requests for which no answer has begun by then are refused, also those that
    ///        were sent to their target before this call
    void begin_drain(instant answer_by = instant::max());
    /// \brief Closes the listening socket and the connections that wait for a request.
    void stop_listening();
    /// \brief Waits until every caller connection has ended.
    /// \returns true when none is left, false when the deadline passed
    [[nodiscard]] bool wait_idle(instant deadline);

    /// \returns the listening port, or 0 before start()
    [[nodiscard]] std::uint16_t port() const;
    /// \returns the number of open caller connections
    [[nodiscard]] std::size_t connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace wigeonrill::traffic

#endif
