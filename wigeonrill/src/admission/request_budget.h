#ifndef WIGEONRILL_ADMISSION_REQUEST_BUDGET_H
#define WIGEONRILL_ADMISSION_REQUEST_BUDGET_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Limits extra requests (retries) to a share of the regular ones. Not thread-safe.
///
/// Each request earns a fraction of an extra one. A small constant rate keeps retries possible
/// where few requests come; the cap keeps a long calm from paying for a storm.
class request_budget {
public:
    /// \param fraction extra requests per request
    /// \param constant_rate extra requests per second without any request
    /// \param cap most extra requests that can be saved up; also the start value
    request_budget(double fraction, double constant_rate, double cap)
        : fraction_(fraction), constant_rate_(constant_rate), cap_(cap), balance_(cap) {}

    /// \brief Records a regular request.
    void on_request(instant now);
    /// \brief Takes one extra request.
    /// \returns false when the budget is used up
    [[nodiscard]] bool take(instant now);
    /// \returns true when take() would succeed
    [[nodiscard]] bool available(instant now);
    [[nodiscard]] double balance() const { return balance_; }

private:
    void refill(instant now);

    double fraction_;
    double constant_rate_;
    double cap_;
    double balance_;
    std::optional<instant> refilled_;
};

/// \returns the retry budget of a service: 10% of its requests, and 1 in 2 s beside them
[[nodiscard]] inline request_budget make_retry_budget() {
    return {0.1, 0.5, 10.0};
}

} // namespace wigeonrill::admission

#endif
