#ifndef WIGEONRILL_TRAFFIC_CALLER_WATCH_H
#define WIGEONRILL_TRAFFIC_CALLER_WATCH_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Tells whether the caller of a request is still there. Used on the request's own thread.
class caller_watch {
public:
    caller_watch() = default;
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    virtual ~caller_watch() = default;

    /// \returns true when the caller has ended its direction of the connection
    [[nodiscard]] virtual bool has_left() const = 0;
};

} // namespace wigeonrill::traffic

#endif
