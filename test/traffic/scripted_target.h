#ifndef WIGEONRILL_TEST_TRAFFIC_SCRIPTED_TARGET_H
#define WIGEONRILL_TEST_TRAFFIC_SCRIPTED_TARGET_H

#include "wigeonrill/traffic.h"

#include <Poco/Net/ServerSocket.h>
#include <thread>

namespace wigeonrill::test {

/// Reaction of the target to one request.
struct scripted_answer {
    std::string bytes;        ///< written unchanged, valid HTTP or not
    bool close{false};        ///< close the connection afterwards
    bool silent{false};       ///< write nothing and wait until the other side closes
    std::string repeated{};   ///< written after `bytes` again and again until the other side closes
    milliseconds interval{0}; ///< pause before each repetition
};

/// Target that reads complete requests and answers with the bytes that a function returns.
class scripted_target {
public:
    /// Returns the answer to a request; `number` counts all requests to the target from 1.
    using script = std::function<scripted_answer(const std::string& request, int number)>;

    explicit scripted_target(script answers);
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    ~scripted_target();

    [[nodiscard]] endpoint address() const;
    [[nodiscard]] std::vector<std::string> requests() const;
    [[nodiscard]] int connections() const;
    [[nodiscard]] int closed_connections() const;
    /// Waits until the other side has closed that many connections.
    void wait_closed(int count);

private:
    void accept_connections();
    void serve(Poco::Net::StreamSocket socket);
    /// Writes the repeated part of an answer until the other side closes the connection.
    void repeat(Poco::Net::StreamSocket& socket, const scripted_answer& answer);

    script answers_;
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    std::condition_variable closed_;
    std::vector<std::string> requests_;
    std::vector<Poco::Net::StreamSocket> sockets_;
    std::vector<std::thread> threads_;
    int closed_connections_{0};
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
};

/// Reads one message from a socket: the head, and the body as given by Content-Length or chunks.
/// Bytes after it stay in `buffered`. If the connection ends, returns the incomplete message.
std::string read_message(Poco::Net::StreamSocket& socket, std::string& buffered, bool with_body);

} // namespace wigeonrill::test

#endif
