#ifndef WIGEONRILL_TRAFFIC_EXCHANGE_H
#define WIGEONRILL_TRAFFIC_EXCHANGE_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "target_attempt.h"

namespace wigeonrill::traffic::detail {

/// \brief Carries out the steps of one request until the caller has its answer.
class exchange {
public:
    exchange(server_context& context, caller_stream& caller, caller_request& request)
        : context_(&context), caller_(&caller), request_(&request) {}

    /// \returns true when the connection can carry another request
    [[nodiscard]] bool run();

private:
    /// \brief Carries out a step.
    /// \returns the next step, or nothing when the request is ended
    [[nodiscard]] std::optional<step> carry_out(const step& plan);
    [[nodiscard]] std::optional<step> attempt(const step& plan);
    void pass_answer(target_attempt& attempt, const step& plan);
    [[nodiscard]] message_head answer_head(const target_attempt& attempt, const step& plan);
    [[nodiscard]] bool pass_body(target_attempt& attempt, const step& plan, std::string head);
    void answer_broke_off(target_attempt& attempt);
    void refuse(const refusal& reason);
    [[nodiscard]] refusal failure_of(const attempt_result& result) const;
    void note(const attempt_result& result);
    [[nodiscard]] bool keeps_connection() const;

    server_context* context_;
    caller_stream* caller_;
    caller_request* request_;
    bool may_have_run_{false};
    bool keep_{false};  ///< the connection can carry another request
    bool whole_{false}; ///< the caller was sent a complete answer
    bool chunked_{false};
    std::shared_ptr<stored_answer> stored_;
};

/// \returns the refusal of a request that didn't pass the check
[[nodiscard]] refusal refusal_of(const framing_fault& fault, outcome result);

} // namespace wigeonrill::traffic::detail

#endif
