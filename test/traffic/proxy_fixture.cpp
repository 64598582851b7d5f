#include "proxy_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <array>

namespace wigeonrill::test {

using traffic::attempt_result;
using traffic::request_info;
using traffic::step;
using traffic::stored_answer;

step recording_dispatcher::first_step(const request_info& request) {
    if (on_first_step) {
        on_first_step();
    }
    if (on_waiting) {
        on_waiting(request);
    }
    const std::lock_guard lock(mutex_);
    started_requests.push_back(request);
    if (steps_.empty()) {
        return default_step;
    }
    auto next = steps_.front();
    steps_.pop_front();
    return next;
}

bool recording_dispatcher::may_send(const request_info& /*request*/) {
    return sending_allowed;
}

std::optional<step> recording_dispatcher::on_attempt_ended(const request_info& /*request*/,
                                                           const attempt_result& attempt) {
    const std::lock_guard lock(mutex_);
    attempts.push_back(attempt);
    if (steps_.empty()) {
        return std::nullopt;
    }
    auto next = steps_.front();
    steps_.pop_front();
    return next;
}

void recording_dispatcher::finish_request(const request_info& /*request*/, bool answer_completed,
                                          std::shared_ptr<const stored_answer> answer) {
    const std::lock_guard lock(mutex_);
    answers_completed.push_back(answer_completed);
    stored_answers.push_back(std::move(answer));
    request_finished_.notify_all();
}

void recording_dispatcher::add_step(step next) {
    const std::lock_guard lock(mutex_);
    steps_.push_back(std::move(next));
}

void recording_dispatcher::on_abandoned_connection_lost(const traffic::request_info& request,
                                                        const target_id& /*target*/,
                                                        const traffic::silence& /*silent*/) {
    const std::lock_guard lock(mutex_);
    abandoned_lost_ = request.id;
    request_finished_.notify_all();
}

std::optional<std::uint64_t> recording_dispatcher::wait_abandoned_lost(milliseconds limit) {
    std::unique_lock lock(mutex_);
    request_finished_.wait_for(lock, limit, [this] { return abandoned_lost_.has_value(); });
    return abandoned_lost_;
}

void recording_dispatcher::wait_finished(std::size_t count) {
    std::unique_lock lock(mutex_);
    request_finished_.wait(lock, [&] { return answers_completed.size() >= count; });
}

raw_caller::raw_caller(std::uint16_t port) : socket_(Poco::Net::SocketAddress("127.0.0.1", port)) {}

void raw_caller::send(const std::string& bytes) {
    std::size_t sent = 0;
    try {
        while (sent < bytes.size()) {
            sent += static_cast<std::size_t>(
                socket_.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    } catch (const Poco::Exception&) {
        return; // The server may send a refusal and close before it has read the whole request.
    }
}

std::string raw_caller::receive_answer(bool with_body) {
    return read_message(socket_, buffered_, with_body);
}

std::string raw_caller::receive_all() {
    std::string all;
    static_cast<void>(ends_by_reset(all));
    return all;
}

bool raw_caller::ends_by_reset(std::string& received) {
    received = std::exchange(buffered_, {});
    std::array<char, 16'384> piece{};
    try {
        for (;;) {
            const int n = socket_.receiveBytes(piece.data(), static_cast<int>(piece.size()));
            if (n <= 0) {
                return false;
            }
            received.append(piece.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::Net::ConnectionResetException&) {
        return true;
    }
}

proxy_fixture::proxy_fixture(scripted_target::script answers, traffic::server_options options)
    : target(std::move(answers)), proxy(std::move(options), decisions, clock) {
    decisions.default_step = send_step();
    const auto started = proxy.start();
    WIGEONRILL_ASSERT(started.has_value(), "the server must start");
}

std::string proxy_fixture::send_request(const std::string& request) {
    auto caller = connect();
    caller.send(request);
    return caller.receive_answer();
}

step proxy_fixture::send_step(config::repeat_policy repeat) const {
    step next;
    next.kind = traffic::step_kind::send;
    next.address = target.address();
    next.target = target_id("target-1");
    next.route.name = route_name("route-1");
    next.route.repeat = repeat;
    next.deadline = clock.now() + seconds{30};
    return next;
}

scripted_answer answer_ok(const std::string& /*request*/, int /*number*/) {
    return {make_answer(200, "", "ok"), false, false};
}

std::string make_answer(int status, const std::string& header_lines, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + header_lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace wigeonrill::test
