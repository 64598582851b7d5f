#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_RECORD_FEED_H
#define WIGEONRILL_PLATFORM_RECORD_FEED_H

namespace wigeonrill::platform {

/// \brief What a target has registered of itself.
struct target_entry {
    config::target target;
    service_name service;
    bool leaving{false};         ///< it will stop soon and must get no new work
    std::uint64_t started_ms{0}; ///< wall clock of its process at its start
    std::uint64_t heartbeat{0};  ///< grows with each report of one process

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// \brief What the operator has published.
struct operator_rules {
    std::uint64_t version{0}; ///< the operator's number
    std::vector<service_name> services;
    std::vector<config::route> routes;

    friend bool operator==(const operator_rules&, const operator_rules&) = default;
};

/// \brief A record that was deleted.
struct deleted_record {};

/// \brief A record that can't be used, with the reason.
struct unreadable_record {
    error reason;
};

/// \brief One record of the platform's store in the project's types.
struct feed_record {
    std::string key;
    std::uint64_t revision{0}; ///< of its last change
    std::variant<deleted_record, unreadable_record, target_entry, operator_rules> content;
};

/// \brief Records as of a revision.
struct feed_page {
    std::uint64_t as_of{0}; ///< every change up to it is included
    std::vector<feed_record> records;
};

/// \brief Read access to the platform's store of targets and rules.
///
/// For one calling thread; only interrupt() may be called from another.
class record_feed {
public:
    record_feed() = default;
    record_feed(const record_feed&) = delete;
    record_feed& operator=(const record_feed&) = delete;
    virtual ~record_feed() = default;

    /// \returns all records, or unavailable or timed_out
    [[nodiscard]] virtual result<feed_page> list() = 0;
    /// \param revision revision of the last page
    /// \param wait how long to wait for a change when there is none yet
    /// \returns the changes since then; not_found when the store has forgotten some of them
    [[nodiscard]] virtual result<feed_page> changes_since(std::uint64_t revision,
                                                          milliseconds wait) = 0;
    /// \brief Ends a call in progress and refuses later ones. Safe from another thread.
    virtual void interrupt() = 0;
};

} // namespace wigeonrill::platform

#endif
