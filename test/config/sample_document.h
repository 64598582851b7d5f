#ifndef WIGEONRILL_TEST_CONFIG_SAMPLE_DOCUMENT_H
#define WIGEONRILL_TEST_CONFIG_SAMPLE_DOCUMENT_H

#include <stdexcept>
#include <string>

namespace wigeonrill::sample {

// A small valid document that contains every key.
inline const std::string document = R"({
  // comment to the end of the line
  "format": 1, "version": 7, "published": "2026-03-01T08:30:00Z",
  "rules": {"resend_window": "12m", "owner_lease": "5h", "authentication": "api_key"},
  /* comment in a block */
  "services": {
    "print": {"floor_slots": 7, "weight": "detection", "queue_limit": 32, "targets": {
      "p1": {"address": "192.0.2.1:8080", "domain": "a", "slots": 6, "cold_start": "20s"},
      "p2": {"address": "192.0.2.2:8080", "domain": "b", "slots": 6}}},
    "stock": {"floor_slots": 0, "weight": "precision", "targets": {
      "s1": {"address": "192.0.2.3:8080", "domain": "a", "slots": 2}}}},
  "routes": {
    "charge": {"service": "print", "host": "shop.example", "methods": ["POST"],
      "path_prefix": "/charge", "repeat": "at_most_once", "key": "optional",
      "max_body": "64KiB", "limits": {"total": "30s", "first_byte": "250ms", "body_idle": "5s"}},
    "proof": {"service": "print", "path_prefix": "/proof", "repeat": "idempotent", "hedge": true,
      "max_body": 1000, "attempts": 3, "priority": 2, "target_latency": "1.5s", "needs_api_key": false},
    "stock": {"split": {"print": {"weight": 90}}, "path_prefix": "/stock",
      "repeat": "idempotent"}},
  "workspaces": {"lennox": {"requests_per_second": 50, "burst": 20.5, "priority": 1,
    "api_key_digests": ["f44b380903b29c30f01b166cc0e0f283"]}, "macrae": {}},
  "key_owners": [
    {"effective_from": "2026-01-01T00:00:00Z", "owners": ["198.51.100.1:8080"]},
    {"announced": "2026-02-28T00:00:00Z", "effective_from": "2026-03-02T00:00:00Z",
     "owners": ["198.51.100.1:8080", "198.51.100.2:8080"]}],
  "vms": [
    {"address": "198.51.100.1:7000", "domain": "a", "role": "node", "state": "live"},
    {"address": "192.0.2.1:8080", "domain": "a", "role": "target", "state": "leaving"}]
})";

// Returns the text with the first occurrence of part replaced. Throws if part does not occur.
inline std::string replace_first(const std::string& part, const std::string& replacement,
                                 std::string text = document) {
    const auto position = text.find(part);
    if (position == std::string::npos) {
        throw std::logic_error("the sample does not contain " + part);
    }
    return text.replace(position, part.size(), replacement);
}

} // namespace wigeonrill::sample

#endif
