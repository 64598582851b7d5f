#ifndef WIGEONRILL_TRAFFIC_CALLER_CONNECTION_H
#define WIGEONRILL_TRAFFIC_CALLER_CONNECTION_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "exchange.h"

namespace wigeonrill::traffic::detail {

/// \brief Serves the requests of one caller connection in their order of arrival.
class caller_connection {
public:
    /// \param fd connected socket, not owned
    /// \param caller numeric IP address of the caller
    caller_connection(int fd, std::string caller, server_context& context);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// \brief Serves requests until the connection must be closed.
    void run();

private:
    /// \brief Waits for the first byte of the next request.
    /// \returns false when the connection must be closed instead
    [[nodiscard]] bool wait_for_request();
    /// \brief Reads one request and answers it.
    /// \returns true when the connection can carry another request
    [[nodiscard]] bool serve_request();
    /// \brief Answers with a refusal and ends the output. Always returns false.
    /// \param request the request, or null if it was refused while its head was read
    [[nodiscard]] bool refuse(const framing_fault& fault, const caller_request* request);
    /// \brief Refuses a request because the server has too many connections. Always returns false.
    [[nodiscard]] bool refuse_too_many_connections();

    server_context* context_;
    std::string caller_;
    caller_stream stream_;
    bool over_connection_limit_; ///< the server had max_connections connections before this one
};

} // namespace wigeonrill::traffic::detail

#endif
