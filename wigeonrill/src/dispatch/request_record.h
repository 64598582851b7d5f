#ifndef WIGEONRILL_DISPATCH_REQUEST_RECORD_H
#define WIGEONRILL_DISPATCH_REQUEST_RECORD_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief State of one request between first() and finished().
struct request_record {
    traffic::request_info info;
    routing::view_ptr view; ///< keeps the route alive
    const config::route* route{nullptr};
    service_name service_used; ///< of the route, or the part of its split that was drawn
    service_state* service{nullptr};
    std::uint64_t fingerprint{0};
    instant deadline{};

    place_ptr place;                    ///< held place, null: none
    std::vector<target_id> tried;       ///< targets that shed or failed
    std::uint32_t attempts{0};          ///< sends to targets
    std::uint32_t losses{0};            ///< attempts that may have run, without an answer to pass
    std::optional<once::dedup_key> key; ///< that it holds or waits for
    bool holds_key{false};              ///< it alone may run the key
    bool waits_for_key{false};          ///< another request holds the key
    bool forwarding{false};             ///< the present step goes to another node
    endpoint owner;                     ///< node that owns the key
    std::optional<moment> chosen;       ///< when the present step was decided
    std::optional<instant> sent;        ///< when the present attempt was allowed to write
    bool head_passed{false};            ///< an answer is being passed on
    bool late{false};                   ///< the answer to the present attempt is overdue
    bool untold_success{false};         ///< other nodes will hear of it with the next count
    std::string reason{"first"};        ///< of the present placement

    std::optional<instant> queued;      ///< since when it waits
    instant not_before{instant::min()}; ///< earliest time of the next attempt after a shed
    std::optional<traffic::step> ready; ///< decided, not yet handed over
};

/// \returns true when the request may run at most once
[[nodiscard]] inline bool at_most_once(const request_record& record) {
    return record.route != nullptr && record.route->repeat == config::repeat_policy::at_most_once;
}

/// \brief Fingerprint of a request: method, path, query, workspace, key and body.
/// \param key text of the key; empty where the key is compared on its own
[[nodiscard]] std::uint64_t request_fingerprint(const traffic::request_info& info,
                                                std::string_view key);

} // namespace wigeonrill::dispatch

#endif
