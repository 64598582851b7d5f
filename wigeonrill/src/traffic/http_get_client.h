#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead."
#endif

#ifndef WIGEONRILL_TRAFFIC_HTTP_GET_CLIENT_H
#define WIGEONRILL_TRAFFIC_HTTP_GET_CLIENT_H

namespace wigeonrill::traffic {

/// \brief Complete answer to a GET call.
struct http_response {
    int status{0};
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields; ///< names and values as received

    /// \returns the value of the first header field with the name, or an empty text
    [[nodiscard]] std::string_view value(std::string_view name) const;
};

/// \brief Time limits of a call.
struct http_call_limits {
    milliseconds silence{0}; ///< longest time without a byte from the server
    milliseconds total{0};   ///< longest time of the whole call
};

/// \brief HTTP client with which this node itself makes GET calls to one server, such as the
/// platform's store. The connection is kept open between calls.
///
/// All functions must be called on one thread, except interrupt(). A connection on which a call
/// failed is closed, and the next call opens a new one.
class http_get_client {
public:
    /// \param clock must outlive this object
    http_get_client(endpoint server, const clock_source& clock);
    http_get_client(const http_get_client&) = delete;
    http_get_client& operator=(const http_get_client&) = delete;
    ~http_get_client();

    /// \param target path and query of the request
    /// \param limits the time to connect counts as silence
    /// \returns the answer, whatever its status code; or an error of kind unavailable, timed_out if
    ///          the server was silent, or overloaded if its answer was still arriving at the end
    [[nodiscard]] result<http_response> get(const std::string& target,
                                            const http_call_limits& limits);
    /// \brief Makes the call in progress and all later calls fail. May be called on any thread.
    void interrupt();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::traffic

#endif
