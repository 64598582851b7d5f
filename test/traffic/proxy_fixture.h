#ifndef WIGEONRILL_TEST_TRAFFIC_PROXY_FIXTURE_H
#define WIGEONRILL_TEST_TRAFFIC_PROXY_FIXTURE_H

#include "scripted_target.h"

#include <deque>

namespace wigeonrill::test {

/// Dispatcher that follows a list of steps and records the calls.
class recording_dispatcher final : public traffic::dispatcher {
public:
    traffic::step first_step(const traffic::request_info& request) override;
    bool may_send(const traffic::request_info& request) override;
    bool may_retry_elsewhere(const traffic::request_info& /*request*/) override {
        return replacing_allowed;
    }
    std::optional<traffic::step> on_attempt_ended(const traffic::request_info& request,
                                                  const traffic::attempt_result& attempt) override;
    void finish_request(const traffic::request_info& request, bool whole,
                        std::shared_ptr<const traffic::stored_answer> answer) override;

    void add_step(traffic::step next);
    /// Waits until that many requests have finished.
    void wait_finished(std::size_t count);

    // Read by tests after wait_finished(), or before any request.
    std::vector<traffic::request_info> started;
    std::vector<traffic::attempt_result> attempts;
    std::vector<bool> wholes;
    std::vector<std::shared_ptr<const traffic::stored_answer>> stored;
    std::atomic<bool> sending_allowed{true};
    std::atomic<bool> replacing_allowed{true};
    std::function<void()> while_queued; ///< called in first_step()
    traffic::step usual;                ///< taken when the list of steps is empty

private:
    std::mutex mutex_;
    std::condition_variable finished_;
    std::deque<traffic::step> steps_;
};

/// Raw connection of a caller.
class raw_caller {
public:
    explicit raw_caller(std::uint16_t port);
    void send(const std::string& bytes);
    /// Reads one answer; what arrived so far when the connection ends.
    std::string receive_answer(bool with_body = true);
    /// Reads until the connection ends.
    std::string receive_all();
    /// Returns true when the connection ended by a reset. Reads everything before it.
    bool ends_by_reset(std::string& received);
    void close() { socket_.close(); }
    Poco::Net::StreamSocket& socket() { return socket_; }

private:
    Poco::Net::StreamSocket socket_;
    std::string buffered_;
};

/// Server in front of a scripted target.
class proxy_fixture {
public:
    explicit proxy_fixture(scripted_target::script reactions,
                           traffic::server_options options = traffic::server_options{});
    /// Sends one request on a new connection and reads until the answer is whole.
    std::string ask(const std::string& request);
    raw_caller connect() { return raw_caller(proxy.port()); }
    traffic::step send_step(config::repeat_policy repeat = config::repeat_policy::idempotent) const;

    scripted_target target;
    recording_dispatcher decisions;
    system_clock_source clock;
    traffic::server proxy;
};

/// Script that answers every request with 200 and the body "ok".
reaction answer_ok(const std::string& request, int number);
/// Answer with the status, header lines and body.
std::string answer_text(int status, const std::string& header_lines, const std::string& body);
inline const std::string plain_get = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

} // namespace wigeonrill::test

#endif
