#ifndef WIGEONRILL_TRAFFIC_CALLER_CONNECTION_H
#define WIGEONRILL_TRAFFIC_CALLER_CONNECTION_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "exchange.h"

namespace wigeonrill::traffic::detail {

/// \brief Serves the requests of one caller connection, one after the other.
class caller_connection {
public:
    /// \param caller numeric address of the caller
    caller_connection(int fd, std::string caller, server_context& context);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// \brief Serves requests until the connection has to be closed.
    void run();

private:
    /// \returns false when no further request is to be read
    [[nodiscard]] bool wait_for_request();
    /// \returns true when the connection can carry another request
    [[nodiscard]] bool serve_request();
    [[nodiscard]] bool refuse(const framing_fault& fault, const caller_request* request);
    [[nodiscard]] bool refuse_for_load();

    server_context* context_;
    std::string caller_;
    caller_stream stream_;
    bool beyond_limit_; ///< opened when the server already had all its connections
};

} // namespace wigeonrill::traffic::detail

#endif
