#include "processes.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace wigeonrill::bench {

namespace {

/// Sends every request to the same target, without retries.
class single_target_dispatcher final : public traffic::dispatcher {
public:
    explicit single_target_dispatcher(endpoint target) : target_(std::move(target)) {}

    traffic::step first_step(const traffic::request_info& request) override {
        traffic::step next_step;
        next_step.kind = traffic::step_kind::send;
        next_step.address = target_;
        next_step.deadline = request.deadline;
        return next_step;
    }
    bool may_send(const traffic::request_info& /*request*/) override { return true; }
    bool may_retry_elsewhere(const traffic::request_info& /*request*/) override { return false; }
    std::optional<traffic::step>
    on_attempt_ended(const traffic::request_info& /*request*/,
                     const traffic::attempt_result& /*attempt*/) override {
        return std::nullopt;
    }
    void on_abandoned_connection_lost(const traffic::request_info& /*request*/,
                                      const target_id& /*target*/,
                                      const traffic::silence& /*silent*/) override {}
    void finish_request(const traffic::request_info& /*request*/, bool /*whole*/,
                        std::shared_ptr<const traffic::stored_answer> /*answer*/) override {}

private:
    endpoint target_;
};

/// \returns whether the text ends with a whole request. Requests of the benchmark are not
/// pipelined.
bool is_whole_request(const std::string& text) {
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    constexpr std::string_view field = "\r\nContent-Length: ";
    const auto length = text.find(field);
    const auto body = length < head_end ? std::stoul(text.substr(length + field.size())) : 0;
    return text.size() >= head_end + 4 + body;
}

/// Answers the requests of one connection until the other side closes it.
void serve_connection(Poco::Net::StreamSocket socket) {
    constexpr std::size_t body_bytes = 200;
    const auto answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTarget-Load: 1\r\n"
                        "Content-Length: " +
                        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
    std::array<char, 16'384> buf{};
    std::string request;
    try {
        for (;;) {
            const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n <= 0) {
                return;
            }
            request.append(buf.data(), static_cast<std::size_t>(n));
            if (is_whole_request(request)) {
                request.clear();
                socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
            }
        }
    } catch (const Poco::Exception&) {
        return; // The other side has closed the connection.
    }
}

} // namespace

server_process::server_process(const serve_function& serve) {
    std::array<int, 2> pipe_ends{};
    WIGEONRILL_ASSERT(::pipe(pipe_ends.data()) == 0, "creating the pipe must succeed");
    pid_ = ::fork();
    WIGEONRILL_ASSERT(pid_ >= 0, "forking the child must succeed");
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close(pipe_ends[0]);
        serve([&](std::uint16_t port) {
            WIGEONRILL_ASSERT(::write(pipe_ends[1], &port, sizeof port) == sizeof port,
                              "the child must be able to write its port to the pipe");
        });
        std::_Exit(0);
    }
    ::close(pipe_ends[1]);
    WIGEONRILL_ASSERT(::read(pipe_ends[0], &port_, sizeof port_) == sizeof port_,
                      "the child must report its port");
    ::close(pipe_ends[0]);
}

server_process::~server_process() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

long server_process::memory_kb(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::atol(line.c_str() + name.size() + 1);
        }
    }
    return 0;
}

void run_target(const std::function<void(std::uint16_t)>& report_port) {
    constexpr int backlog = 1024;
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0), backlog);
    report_port(listener.address().port());
    for (;;) {
        auto socket = listener.acceptConnection();
        socket.setNoDelay(true);
        std::thread([socket] { serve_connection(socket); }).detach();
    }
}

void run_proxy(const endpoint& target, const std::function<void(std::uint16_t)>& report_port) {
    single_target_dispatcher decisions(target);
    const system_clock_source clock;
    traffic::server proxy(traffic::server_options{}, decisions, clock);
    WIGEONRILL_ASSERT(proxy.start().has_value(), "the proxy must be able to listen on a port");
    report_port(proxy.port());
    ::pause();
}

} // namespace wigeonrill::bench
