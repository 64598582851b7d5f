#ifndef WIGEONRILL_ONCE_KEY_ISSUER_H
#define WIGEONRILL_ONCE_KEY_ISSUER_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Issues idempotency keys that only this process may run. Not thread-safe.
///
/// The sequence number is the time of issue in microseconds since the start of the process on the
/// monotonic clock, increased if needed to be unique. The process therefore knows the age of its
/// keys after their entries were dropped, independent of changes of the wall clock.
class key_issuer {
public:
    /// \param own_address traffic address of this process
    /// \param incarnation number that no other process with this address ever has
    /// \param started start of the process on the monotonic clock
    key_issuer(endpoint own_address, std::uint64_t incarnation, instant started);

    /// \returns the text of a new key
    [[nodiscard]] std::string issue(instant now);
    /// \returns whether this process issued the key
    [[nodiscard]] bool has_issued(const idempotency_key& key) const;
    /// \returns when this process issued the key
    [[nodiscard]] instant issue_time(const idempotency_key& key) const;

private:
    endpoint own_address_;
    std::uint64_t incarnation_;
    instant started_;
    std::uint64_t last_sequence_{0}; ///< sequence number of the last key; 0 is never used
};

} // namespace wigeonrill::once

#endif
