#ifndef WIGEONRILL_TEST_TRAFFIC_PROXY_FIXTURE_H
#define WIGEONRILL_TEST_TRAFFIC_PROXY_FIXTURE_H

#include "scripted_target.h"

#include <deque>

namespace wigeonrill::test {

/// Dispatcher that returns steps from a list and records the calls.
class recording_dispatcher final : public traffic::dispatcher {
public:
    traffic::step first_step(const traffic::request_info& request) override;
    bool may_send(const traffic::request_info& request) override;
    bool may_retry_elsewhere(const traffic::request_info& /*request*/) override {
        return retry_elsewhere_allowed;
    }
    std::optional<traffic::step> on_attempt_ended(const traffic::request_info& request,
                                                  const traffic::attempt_result& attempt) override;
    void on_abandoned_connection_lost(const traffic::request_info& request, const target_id& target,
                                      const traffic::silence& silent) override;
    void finish_request(const traffic::request_info& request, bool answer_completed,
                        std::shared_ptr<const traffic::stored_answer> answer) override;

    /// Appends a step to the list.
    void add_step(traffic::step next);
    /// Waits until the given number of requests have been finished.
    void wait_finished(std::size_t count);
    /// Waits until an abandoned connection has been reported as lost, for at most this time.
    /// Returns the id of its request, or nothing.
    std::optional<std::uint64_t> wait_abandoned_lost(milliseconds limit);

    // Read by tests after wait_finished(), or before any request.
    std::vector<traffic::request_info> started_requests;
    std::vector<traffic::attempt_result> attempts;
    std::vector<bool> answers_completed;
    std::vector<std::shared_ptr<const traffic::stored_answer>> stored_answers;
    std::atomic<bool> sending_allowed{true};
    std::atomic<bool> retry_elsewhere_allowed{true};
    std::function<void()> on_first_step;                          ///< called in first_step()
    std::function<void(const traffic::request_info&)> on_waiting; ///< called in first_step()
    traffic::step default_step; ///< first step when the list is empty

private:
    std::mutex mutex_;
    std::condition_variable request_finished_;
    std::deque<traffic::step> steps_;
    std::optional<std::uint64_t> abandoned_lost_;
};

/// Connection of a caller that sends and receives raw bytes.
class raw_caller {
public:
    explicit raw_caller(std::uint16_t port);
    void send(const std::string& bytes);
    /// Reads one answer. Returns an incomplete one if the connection ends.
    std::string receive_answer(bool with_body = true);
    /// Returns all bytes until the connection ends.
    std::string receive_all();
    /// Reads until the connection ends. Returns true if it was reset.
    bool ends_by_reset(std::string& received);
    void close() { socket_.close(); }
    Poco::Net::StreamSocket& socket() { return socket_; }

private:
    Poco::Net::StreamSocket socket_;
    std::string buffered_;
};

/// Server with a recording dispatcher and a scripted target.
class proxy_fixture {
public:
    explicit proxy_fixture(scripted_target::script answers,
                           traffic::server_options options = traffic::server_options{});
    /// Sends one request on a new connection and returns the complete answer.
    std::string send_request(const std::string& request);
    raw_caller connect() { return raw_caller(proxy.port()); }
    /// Returns a step that sends a request to the scripted target.
    traffic::step send_step(config::repeat_policy repeat = config::repeat_policy::idempotent) const;

    scripted_target target;
    recording_dispatcher decisions;
    system_clock_source clock;
    traffic::server proxy;
};

/// Script that answers every request with 200 and the body "ok".
scripted_answer answer_ok(const std::string& request, int number);
/// Returns an answer with the status, header lines and body.
std::string make_answer(int status, const std::string& header_lines, const std::string& body);
inline const std::string plain_get = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

} // namespace wigeonrill::test

#endif
