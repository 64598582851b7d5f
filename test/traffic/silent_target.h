#ifndef WIGEONRILL_TEST_TRAFFIC_SILENT_TARGET_H
#define WIGEONRILL_TEST_TRAFFIC_SILENT_TARGET_H

#include "scripted_target.h"

namespace wigeonrill::test {

/// Target that reads one request and then behaves like a machine without power: new connections
/// hang, and the one with the request gets nothing until it is ended.
class silent_target {
public:
    silent_target();
    silent_target(const silent_target&) = delete;
    silent_target& operator=(const silent_target&) = delete;
    ~silent_target();

    [[nodiscard]] endpoint address() const;
    /// Waits for the request. From its arrival on, new connections hang if `dark`.
    void receive_request(bool dark);
    /// New connections are accepted again, as by the next process.
    void accept_again();
    /// Resets the connection with the request.
    void reset();
    /// Answers the request.
    void answer();

private:
    Poco::Net::ServerSocket listener_;
    std::vector<int> fillers_; ///< connections that fill the queue of the listening socket
    std::optional<Poco::Net::StreamSocket> connection_;
};

} // namespace wigeonrill::test

#endif
