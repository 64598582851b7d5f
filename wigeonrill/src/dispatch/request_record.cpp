#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

std::uint64_t request_fingerprint(const traffic::request_info& info, std::string_view key) {
    std::uint64_t hash = info.body_digest;
    hash = stable_hash(info.method, hash);
    hash = stable_hash(info.host, hash);
    hash = stable_hash(info.path, hash);
    hash = stable_hash(info.query, hash);
    hash = stable_hash(info.workspace, hash);
    hash = stable_hash(key, hash);
    return stable_hash(std::to_string(info.body_bytes), hash);
}

} // namespace wigeonrill::dispatch
