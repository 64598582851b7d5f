#ifndef WIGEONRILL_TEST_TRAFFIC_SCRIPTED_TARGET_H
#define WIGEONRILL_TEST_TRAFFIC_SCRIPTED_TARGET_H

#include "wigeonrill/traffic.h"

#include <Poco/Net/ServerSocket.h>
#include <thread>

namespace wigeonrill::test {

/// What the target does with one request.
struct reaction {
    std::string bytes;  ///< written as they are
    bool close{false};  ///< closes the connection afterwards
    bool silent{false}; ///< writes nothing and waits until the other side closes
};

/// Target that reads whole requests and answers with the bytes of a script, valid or not.
class scripted_target {
public:
    using script = std::function<reaction(const std::string& request, int number)>;

    explicit scripted_target(script reactions);
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    ~scripted_target();

    [[nodiscard]] endpoint address() const;
    [[nodiscard]] std::vector<std::string> requests() const;
    [[nodiscard]] int connections() const;
    /// Waits until the other side has closed that many connections.
    void wait_closed(int count);

private:
    void accept_connections();
    void serve(Poco::Net::StreamSocket socket);

    script reactions_;
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    std::condition_variable closed_;
    std::vector<std::string> requests_;
    std::vector<Poco::Net::StreamSocket> sockets_;
    std::vector<std::thread> threads_;
    int ended_{0};
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
};

/// Reads one message from a socket: head, and the body by Content-Length or chunks.
/// Bytes behind it stay in `buffered`. Returns what was read when the connection ends.
std::string read_message(Poco::Net::StreamSocket& socket, std::string& buffered, bool with_body);

} // namespace wigeonrill::test

#endif
