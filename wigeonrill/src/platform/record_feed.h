#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_RECORD_FEED_H
#define WIGEONRILL_PLATFORM_RECORD_FEED_H

namespace wigeonrill::platform {

/// \brief Registration that a target process writes to the platform's store.
struct target_registration {
    config::target target;
    service_name service;
    bool leaving{false};         ///< the process stops soon and must receive no new requests
    std::uint64_t started_ms{0}; ///< start of the process, milliseconds of its wall clock
    std::uint64_t heartbeat{0};  ///< increases with each registration that the process writes
    std::uint64_t created{0};    ///< revision of the store at which the record was created

    friend bool operator==(const target_registration&, const target_registration&) = default;
};

/// \brief Services and routes that the operator has published in the platform's store.
struct operator_rules {
    std::uint64_t version{0}; ///< version number assigned by the operator
    std::vector<service_name> services;
    std::vector<config::route> routes;
    config::caller_authentication authentication{config::caller_authentication::none};
    config::shared_list<config::workspace> workspaces; ///< sorted by name
    /// Parts of the record that aren't used, or not as they were written, each with the reason.
    std::vector<std::string> remarks;

    friend bool operator==(const operator_rules&, const operator_rules&) = default;
};

/// \brief Marks a record that was deleted from the store.
struct deleted_record {};

/// \brief Marks a record that can't be decoded.
struct unreadable_record {
    error reason;
};

/// \brief One record of the platform's store, decoded.
struct feed_record {
    std::string key;
    std::uint64_t revision{0}; ///< revision of the store at the record's last change
    std::variant<deleted_record, unreadable_record, target_registration, operator_rules> content;
};

/// \brief Records returned by one call to the store.
struct feed_page {
    std::uint64_t as_of{0}; ///< revision up to which every change is included
    std::vector<feed_record> records;
    /// Era of the store, which rises each time it comes back from an older copy of its records.
    /// Revisions of different eras can't be compared. 0: the store names no era.
    std::uint64_t era{0};
    std::size_t bytes{0}; ///< size of the store's answers, for the log
};

/// \brief Read access to the platform's store, which holds target registrations and operator rules.
///
/// All member functions must be called from one thread, except interrupt(), which any thread may
/// call.
class record_feed {
public:
    record_feed() = default;
    record_feed(const record_feed&) = delete;
    record_feed& operator=(const record_feed&) = delete;
    virtual ~record_feed() = default;

    /// \returns all records, or the error unavailable or timed_out
    [[nodiscard]] virtual result<feed_page> list() = 0;
    /// \brief Reads the changes made after a revision.
    /// \param revision feed_page::as_of of the last page
    /// \param wait how long to wait for a change if there is none yet
    /// \returns the changes, none if there was no change in time, or an error: not_found if the
    ///          store no longer has all changes since the revision, so that list() must be called
    [[nodiscard]] virtual result<feed_page> changes_since(std::uint64_t revision,
                                                          milliseconds wait) = 0;
    /// \brief Ends a call in progress and makes later calls fail. Thread-safe.
    virtual void interrupt() = 0;
};

} // namespace wigeonrill::platform

#endif
