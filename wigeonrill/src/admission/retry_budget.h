#ifndef WIGEONRILL_ADMISSION_RETRY_BUDGET_H
#define WIGEONRILL_ADMISSION_RETRY_BUDGET_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Limits retries to a share of the requests. Not thread-safe.
///
/// Each request adds a fraction of a retry to the balance. A small constant rate allows retries
/// also in services with few requests. The cap prevents a large number of retries at once after a
/// long period without failures.
class retry_budget {
public:
    /// \param fraction retries added per request
    /// \param constant_rate retries added per second, independent of requests
    /// \param cap largest balance; also the initial balance
    retry_budget(double fraction, double constant_rate, double cap)
        : fraction_(fraction), constant_rate_(constant_rate), cap_(cap), balance_(cap) {}

    /// \brief Records a request, which is not itself a retry.
    void on_request(instant now);
    /// \brief Takes one retry from the balance.
    /// \returns false when the budget is used up
    [[nodiscard]] bool take(instant now);
    /// \returns true when take() would succeed now
    [[nodiscard]] bool available(instant now);
    /// \returns the number of retries available at the last call with a time
    [[nodiscard]] double balance() const { return balance_; }

private:
    /// \brief Adds the retries of the constant rate since the last call.
    void refill(instant now);

    double fraction_;
    double constant_rate_;
    double cap_;
    double balance_;
    std::optional<instant> last_refill_;
};

/// \returns the default budget of a service: 10% of its requests and 1 retry per 2 s, at most 10 at
///          once
[[nodiscard]] inline retry_budget make_retry_budget() {
    return {0.1, 0.5, 10.0};
}

} // namespace wigeonrill::admission

#endif
