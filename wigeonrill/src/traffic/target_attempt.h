#ifndef WIGEONRILL_TRAFFIC_TARGET_ATTEMPT_H
#define WIGEONRILL_TRAFFIC_TARGET_ATTEMPT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "caller_stream.h"
#include "silence_check.h"

namespace wigeonrill::traffic::detail {

/// \brief One attempt to get an answer to a request from a target or node.
class target_attempt {
public:
    target_attempt(server_context& context, caller_stream& caller, caller_request& request,
                   const step& plan)
        : context_(&context), caller_(&caller), request_(&request), plan_(&plan) {}

    /// \brief Sends the request and reads the head of the answer, and also the body if it is small.
    void run();

    [[nodiscard]] const attempt_result& result() const { return result_; }
    /// \returns true when an answer was read that can be sent to the caller
    [[nodiscard]] bool answered() const { return answered_; }
    /// \returns true when the attempt ended because the caller closed its connection
    [[nodiscard]] bool caller_disconnected() const { return caller_disconnected_; }
    /// \returns the fault in the request body that ended the attempt, if there was one
    [[nodiscard]] const std::optional<framing_fault>& caller_fault() const { return caller_fault_; }

    [[nodiscard]] const message_head& head() const { return head_; }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const { return length_; }
    /// \returns the body, if it was read into memory
    [[nodiscard]] const std::optional<std::string>& buffered_body() const { return buffered_body_; }
    /// \brief Reads the next part of a body that is not buffered.
    /// \param n receives the number of bytes; 0 with result true means that the body is complete
    /// \returns false when the answer is truncated or malformed
    [[nodiscard]] bool read_body_piece(char* out, std::size_t capacity, std::size_t& n);
    /// \returns until when the target has time for a body that is streamed
    [[nodiscard]] instant answer_until() const { return answer_until_; }
    /// \brief Gives the target more time for its body, for a time in which the caller didn't take
    ///        the answer.
    void exclude_wait_for_caller(instant::duration time) { answer_until_ += time; }
    /// \brief Returns the connection to the pool if it can carry another request, else closes it.
    void release();

private:
    using status = message_reader::status;

    /// \returns a connection of the pool that has not carried this request, or null. A late copy of
    ///          the answer to an earlier attempt has the same id, so it would be taken for the
    ///          answer.
    [[nodiscard]] connection_ptr take_idle_connection();
    /// \brief Takes a connection from the pool or opens one.
    /// \param force_new true to open one in any case
    /// \returns false when there is no connection
    [[nodiscard]] bool open_connection(bool force_new);
    // The functions below that return bool return false when the attempt has failed, unless they
    // say otherwise. The result is recorded in result_.

    /// \brief Sends the request and reads the answer on the open connection.
    [[nodiscard]] bool perform_exchange();
    /// \brief Sends the request with its body.
    [[nodiscard]] bool send_request();
    /// \brief Sends a request whose whole body is in memory.
    /// \returns as send_bytes()
    [[nodiscard]] bool send_buffered_request();
    /// \returns the time until which to wait before looking again whether the attempt must end: the
    ///          server may begin to drain meanwhile, which lowers deadline_
    /// \param until latest time to return
    [[nodiscard]] instant next_look(instant until);
    /// What ends the wait for more of a streamed body.
    enum class body_event : std::uint8_t {
        more,    ///< the caller has sent some, or nothing for too long
        answer,  ///< the target answered or closed its connection
        deadline ///< the time for the request is over
    };
    /// \brief Waits for more of a streamed body.
    [[nodiscard]] body_event wait_for_more_body();
    /// \brief Reads the next part of a streamed body. Its arguments are those of
    ///        caller_stream::read_body_piece().
    [[nodiscard]] bool read_caller_body(char* out, std::size_t capacity, std::size_t& n);
    /// \brief Sends bytes to the target.
    /// \returns false when not all were sent; the answer should then be read
    [[nodiscard]] bool send_bytes(std::string_view bytes);
    /// \brief Passes the rest of the body from the caller to the target.
    [[nodiscard]] bool stream_body();
    /// \returns the head of the request as it is sent to the target or node
    [[nodiscard]] std::string request_head() const;
    /// \brief Reads the head, and a small body, of the answer.
    [[nodiscard]] bool read_answer();
    /// \brief Reads heads up to that of the final answer, and passes interim answers to the caller.
    [[nodiscard]] bool read_final_head();
    /// \brief Waits for the first byte of an answer.
    [[nodiscard]] status wait_for_answer();
    /// \brief Waits for the first byte until a time, and updates the check for silence meanwhile.
    [[nodiscard]] status wait_first_byte(instant until);
    /// \brief Closes the connection. If the target seems silent, the connection is kept for some
    ///        seconds, since its end may show that the target has crashed.
    void give_up_connection();
    /// \returns whether the body of the answer is to be read into memory before anything is sent to
    ///          the caller; then the memory for it is reserved
    [[nodiscard]] bool reserve_body_memory();
    /// \brief Reads the next part of a body that is held in memory.
    [[nodiscard]] status read_held_piece(char* out, std::size_t capacity, std::size_t& n);
    /// \brief Reads the whole body into memory.
    [[nodiscard]] bool buffer_answer_body();
    /// \returns true when no bytes follow the answer on the connection
    [[nodiscard]] bool is_complete() const;
    /// \brief Decides about a refusal whether it belongs to this request, and whether the
    ///        connection can carry another one.
    [[nodiscard]] bool is_own_refusal();
    /// \brief Reads and discards the rest of an answer to another request.
    /// \returns false when no further answer can follow on the connection
    [[nodiscard]] bool skip_answer();
    /// \brief Records a failure in result_ and closes the connection. Always returns false.
    [[nodiscard]] bool fail(health::answer_kind kind);
    /// \brief Records the failure that a read with this status means. Always returns false.
    [[nodiscard]] bool fail(status reading);
    /// \brief The same for a head or a late answer that has begun: if it takes too long, the answer
    ///        is malformed. Always returns false.
    [[nodiscard]] bool fail_unfinished(status reading);
    /// \brief Records that the rest of a streamed body didn't come in time. A pause that would
    ///        count as silence before an answer does so within one. Always returns false.
    [[nodiscard]] bool fail_unfinished_body(instant waiting_since);
    /// \brief After the connection was lost with the request in flight, finds out whether the
    ///        target accepts another one.
    void check_whether_target_is_up();
    /// \returns true when the request may be sent again after a reused connection was lost
    [[nodiscard]] bool may_retry_on_new_connection() const;
    [[nodiscard]] bool is_head_request() const { return request_->info.method == "HEAD"; }

    server_context* context_;
    caller_stream* caller_;
    caller_request* request_;
    const step* plan_;
    connection_ptr connection_;
    std::unique_ptr<silence_check> silence_; ///< while an answer is awaited and none of it has come
    attempt_result result_;
    message_head head_;                        ///< head of the final answer
    std::optional<std::uint64_t> length_;      ///< Content-Length of the answer
    std::optional<std::string> buffered_body_; ///< body of the answer, if read into memory
    body_reservation body_memory_;             ///< for buffered_body_, if it is large
    std::optional<framing_fault> caller_fault_;
    instant answer_expected_since_{}; ///< when the request had been sent
    instant deadline_{};     ///< until when the head of the answer, or a held answer, must be read
    instant answer_until_{}; ///< until when the target has time for a body that is streamed
    bool answered_{false};
    bool caller_disconnected_{false};
    bool answer_started_{false}; ///< at least one byte of the answer has arrived
    bool new_connection_opened_{false};
    bool may_reuse_connection_{true};
    bool request_fully_sent_{false}; ///< the whole request has been written
};

} // namespace wigeonrill::traffic::detail

#endif
