#ifndef WIGEONRILL_TRAFFIC_TARGET_ATTEMPT_H
#define WIGEONRILL_TRAFFIC_TARGET_ATTEMPT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "caller_stream.h"

namespace wigeonrill::traffic::detail {

/// \brief One attempt to get an answer from a target or node.
class target_attempt {
public:
    target_attempt(server_context& context, caller_stream& caller, caller_request& request,
                   const step& plan)
        : context_(&context), caller_(&caller), request_(&request), plan_(&plan) {}

    /// \brief Sends the request and reads the answer's head; reads a small body as well.
    void run();

    [[nodiscard]] const attempt_result& result() const { return result_; }
    [[nodiscard]] attempt_result& mutable_result() { return result_; }
    /// \returns true when the answer's head was read and no fault was found
    [[nodiscard]] bool answered() const { return answered_; }
    [[nodiscard]] bool caller_left() const { return caller_left_; }
    /// \returns the fault of the caller's body that ended the attempt, if there was one
    [[nodiscard]] const std::optional<framing_fault>& caller_fault() const { return caller_fault_; }

    [[nodiscard]] const message_head& head() const { return head_; }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const { return length_; }
    /// \returns the body, when it was read into memory
    [[nodiscard]] const std::optional<std::string>& held() const { return held_; }
    /// \brief Reads the next piece of a body that is not held.
    /// \param n receives its size; 0 with true: the body is complete
    /// \returns false when the answer broke off
    [[nodiscard]] bool read_piece(char* out, std::size_t room, std::size_t& n);
    /// \brief Gives the connection back to the pool when it can carry another exchange.
    void release();

private:
    using status = message_reader::status;

    [[nodiscard]] bool open(bool only_new);
    [[nodiscard]] bool exchange();
    [[nodiscard]] bool send_request();
    [[nodiscard]] bool send_bytes(std::string_view bytes);
    [[nodiscard]] bool stream_body();
    [[nodiscard]] std::string head_text() const;
    [[nodiscard]] bool read_answer();
    [[nodiscard]] bool read_final_head();
    /// \brief Waits for the first byte of an answer.
    [[nodiscard]] status wait_for_answer();
    [[nodiscard]] bool hold_answer();
    [[nodiscard]] bool is_complete() const;
    /// \returns false for a success that no target has signed
    [[nodiscard]] bool is_signed() const;
    /// \returns true when the head read belongs to another request's answer
    [[nodiscard]] bool names_other_request() const;
    /// \brief Reads the rest of an answer that belongs to another request.
    /// \returns false when the connection can't carry another answer
    [[nodiscard]] bool skip_answer();
    /// \returns true when the target states that it did not run the request
    [[nodiscard]] bool was_not_run() const;
    void note_head();
    [[nodiscard]] bool fail(health::answer_kind kind);
    [[nodiscard]] bool fail(status reading);
    [[nodiscard]] bool may_retry_on_new_connection() const;
    [[nodiscard]] bool to_head() const { return request_->info.method == "HEAD"; }

    server_context* context_;
    caller_stream* caller_;
    caller_request* request_;
    const step* plan_;
    connection_ptr connection_;
    attempt_result result_;
    message_head head_;
    std::optional<std::uint64_t> length_;
    std::optional<std::string> held_;
    std::optional<framing_fault> caller_fault_;
    instant deadline_{};
    bool answered_{false};
    bool caller_left_{false};
    bool answer_began_{false};  ///< a byte of the answer arrived
    bool request_whole_{false}; ///< the whole request was written
};

} // namespace wigeonrill::traffic::detail

#endif
