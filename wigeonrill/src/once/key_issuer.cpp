#include "wigeonrill/once.h"

#include <algorithm>

namespace wigeonrill::once {

key_issuer::key_issuer(endpoint own_address, std::uint64_t incarnation, instant started)
    : own_address_(std::move(own_address)), incarnation_(incarnation), started_(started) {}

std::string key_issuer::issue(instant now) {
    const auto elapsed = std::chrono::duration_cast<microseconds>(now - started_).count();
    last_sequence_ = std::max(last_sequence_ + 1,
                              static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed, 0)));
    return format_issued_key(own_address_, incarnation_, last_sequence_);
}

bool key_issuer::has_issued(const idempotency_key& key) const {
    return key.kind == key_kind::issued && key.owner == own_address_ &&
           key.incarnation == incarnation_ && key.sequence > 0 && key.sequence <= last_sequence_;
}

instant key_issuer::issue_time(const idempotency_key& key) const {
    return started_ + microseconds(static_cast<std::int64_t>(key.sequence));
}

} // namespace wigeonrill::once
