#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead."
#endif

#ifndef WIGEONRILL_TRAFFIC_CALL_CLIENT_H
#define WIGEONRILL_TRAFFIC_CALL_CLIENT_H

namespace wigeonrill::traffic {

/// \brief Whole answer to a call.
struct call_answer {
    int status{0};
    std::string body;
};

/// \brief Makes GET calls of this node's own to one server, over a connection that is kept open.
///
/// For one calling thread; only interrupt() may be called from another. A connection on which a
/// call failed is not used again.
class call_client {
public:
    /// \param clock must outlive this object
    call_client(endpoint server, const clock_source& clock);
    call_client(const call_client&) = delete;
    call_client& operator=(const call_client&) = delete;
    ~call_client();

    /// \param target path with query
    /// \param limit longest time of the whole call, however slowly bytes arrive
    /// \returns the answer, whatever its status; or unavailable or timed_out
    [[nodiscard]] result<call_answer> get(const std::string& target, milliseconds limit);
    /// \brief Ends a call in progress and refuses later ones. Safe from another thread.
    void interrupt();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::traffic

#endif
