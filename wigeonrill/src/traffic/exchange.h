#ifndef WIGEONRILL_TRAFFIC_EXCHANGE_H
#define WIGEONRILL_TRAFFIC_EXCHANGE_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "target_attempt.h"

namespace wigeonrill::traffic::detail {

/// \brief Performs the steps that the dispatcher decides for one request until it is answered.
class exchange {
public:
    exchange(server_context& context, caller_stream& caller, caller_request& request)
        : context_(&context), caller_(&caller), request_(&request) {}

    /// \brief Performs all steps and sends the answer or a refusal to the caller.
    /// \returns true when the connection can carry another request
    [[nodiscard]] bool run();

private:
    /// \brief Performs one step.
    /// \returns the next step, or nothing when the request has been answered or abandoned
    [[nodiscard]] std::optional<step> perform_step(const step& plan);
    /// \brief Sends the request to a target or node and handles the result. Returns as
    /// perform_step().
    [[nodiscard]] std::optional<step> attempt(const step& plan);
    /// \brief Sends the answer of the attempt to the caller.
    void send_answer(target_attempt& attempt, const step& plan);
    /// \returns the head to send to the caller; also decides on chunks and on keeping the
    /// connection
    [[nodiscard]] message_head answer_head(const target_attempt& attempt, const step& plan);
    /// \brief Sends the head, then streams a body that is not buffered.
    /// \returns true when the whole answer was sent
    [[nodiscard]] bool send_answer_body(target_attempt& attempt, const step& plan,
                                        std::string head);
    /// \brief Sends a part of a streamed answer. While its caller doesn't take it, the time of the
    ///        target for the rest of a body of known length doesn't run. Any other may never end.
    /// \returns true when the whole part was sent
    [[nodiscard]] bool send_body_piece(target_attempt& attempt, const step& plan,
                                       std::string_view piece);
    /// \brief Resets the caller's connection and reports the truncated answer to the dispatcher.
    void on_answer_truncated(target_attempt& attempt);
    /// \brief Sends a refusal to the caller.
    void refuse(const refusal& reason);
    /// \returns the refusal for an attempt that got no answer
    [[nodiscard]] refusal refusal_for_failure(const attempt_result& result) const;
    /// \brief Updates may_have_run_ and logs a failed attempt.
    void record_attempt(const attempt_result& result);
    /// \returns true when the caller and the state of the server allow another request
    [[nodiscard]] bool can_keep_connection() const;

    server_context* context_;
    caller_stream* caller_;
    caller_request* request_;
    bool may_have_run_{false};              ///< a target may have run the request
    bool keep_connection_{false};           ///< the connection can carry another request
    bool answer_completed_{false};          ///< the caller was sent a complete answer
    bool chunked_{false};                   ///< the answer is sent with the chunked transfer coding
    std::shared_ptr<stored_answer> stored_; ///< answer to keep for the idempotency key, or null
};

/// \returns the refusal of a request with a fault
/// \param result whether a target may have run the request
[[nodiscard]] refusal make_refusal(const framing_fault& fault, outcome result);

} // namespace wigeonrill::traffic::detail

#endif
