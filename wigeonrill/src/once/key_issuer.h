#ifndef WIGEONRILL_ONCE_KEY_ISSUER_H
#define WIGEONRILL_ONCE_KEY_ISSUER_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Issues keys that only this process may run. Not thread-safe.
///
/// The sequence is the issue time in microseconds since the start on the monotonic clock, raised
/// where needed to stay unique. So the process knows the age of each of its keys after their
/// entries are gone, and a wall clock that is set doesn't matter.
class key_issuer {
public:
    /// \param own traffic address of this process
    /// \param incarnation number that no other process of this address ever has
    /// \param started start of the process on the monotonic clock
    key_issuer(endpoint own, std::uint64_t incarnation, instant started);

    /// \returns a new key
    [[nodiscard]] std::string issue(instant now);
    /// \returns true when this process issued the key
    [[nodiscard]] bool issued(const idempotency_key& key) const;
    /// \returns the issue time of a key of this process
    [[nodiscard]] instant issue_time(const idempotency_key& key) const;

private:
    endpoint own_;
    std::uint64_t incarnation_;
    instant started_;
    std::uint64_t last_{0}; ///< 0 is never issued
};

} // namespace wigeonrill::once

#endif
