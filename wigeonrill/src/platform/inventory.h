#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_INVENTORY_H
#define WIGEONRILL_PLATFORM_INVENTORY_H

namespace wigeonrill::platform {

/// \brief Settings that the records of the platform's store do not contain.
struct inventory_options {
    double floor_share{0.7}; ///< share of a service's slots that must stay in use despite ejections
    config::health_weight weight{config::health_weight::detection}; ///< applies to every service
    /// Time after a target's start in which slow answers are normal.
    milliseconds cold_start{3'000};
    /// Time after an outage of the store that a target whose registration lapsed has to register
    /// again. Until then the target stays in the configuration.
    milliseconds return_time{2'000};
    /// Time without a successful read by any node after which the store counts as being in an
    /// outage. Registrations that disappear after a shorter gap are removed at once.
    milliseconds outage_time{1'000};
    /// Time after which the store has removed a registration that its target no longer renews. So
    /// long, registrations of a restored store may be those of targets that have left.
    milliseconds registration_time{5'000};
};

/// \returns the era of the store in which the content of a version was read, see
///          inventory::version()
[[nodiscard]] std::uint64_t era_of(std::uint64_t version);

/// \brief A log message about a change or a rejected record.
struct inventory_note {
    bool is_warning{false};    ///< the record was rejected; to be logged as a warning
    std::string what;          ///< the message, a complete sentence
    std::string key;           ///< key of the record
    std::string detail;        ///< service and address, version of the rules, or reason
    std::uint64_t revision{0}; ///< revision of the record, 0 if unknown
};

/// \brief What this node has read of the end of a target.
enum class target_change : std::uint8_t {
    leaving,    ///< its process says that it leaves
    gone,       ///< its registration is gone; its process may register again
    ready_again ///< its process took back that it leaves
};

/// \brief A target whose end this node has read.
struct withdrawn_target {
    service_name service;
    target_id target;
    config::registration registered; ///< the last one that it had
    target_change change{target_change::leaving};
    std::uint64_t order{0}; ///< higher for what was read in a later era or revision of the store
};

/// \brief Builds a configuration from the records of the platform's store. Pure: performs no calls
///        and reads no clock.
///
/// A target whose registration disappears is removed at once, except during an outage of the store
/// and for return_time after it. In that period, a registration may have lapsed because the target
/// could not renew it, so a target that is in force is kept until return_time ends.
///
/// A store that came back from an older copy may show targets that have left since, which a node
/// that didn't read their removal can't know. So a target of the copy that is not in force is not
/// used until it is written again, or until registration_time ends.
class inventory {
public:
    explicit inventory(inventory_options options) : options_(options) {}

    /// \brief Replaces the known records by a full list, which may be of another era than before.
    ///        Targets that it lacks are removed.
    void replace(const feed_page& all, instant now);
    /// \brief Applies changes to the known records. They must be of the era of these records.
    void apply(const feed_page& changes, instant now);
    /// \brief Records that the store could not be read, which may mean an outage.
    /// \param last_read_at latest time at which any node read the store, as far as this node knows
    void record_read_failure(instant last_read_at, instant now);
    /// \brief Records that the store answered a peer, which ends an outage that began before.
    /// \param when start of the peer's call
    void record_answer_to_peer(instant when);
    /// \brief Records that this node or a peer has read the store in an era. A later era than the
    ///        ones before means that the store was in an outage, and came back from an older copy.
    /// \param when time at which this node learned of the era
    void record_era(std::uint64_t era, instant when);
    /// \brief Sets the configuration in force. It may come from a peer that read the store later
    ///        than this node. Rules in it that are newer than the known ones are taken over, since
    ///        the store may have lost them.
    void set_configuration_in_force(config::snapshot_ptr configuration);
    /// \brief Removes the targets whose registration lapsed, if return_time is over, and uses those
    ///        of a restored store that it still shows, if registration_time is over.
    void expire(instant now);
    /// \returns the time at which expire() is to be called, or nothing if it would change nothing
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// \returns the revision up to which all changes are included, 0 before the first read
    [[nodiscard]] std::uint64_t as_of() const { return as_of_; }
    /// \returns the era of the store to which as_of() belongs, 0 if the store names none
    [[nodiscard]] std::uint64_t era() const { return era_; }
    /// \returns the version of the configuration. It grows with the era, and within one with
    ///          as_of(). At the same revision, content with newer rules than the store has is
    ///          newer; and content is newer when no target is lapsed or unconfirmed, because all
    ///          nodes build the same content then, while those targets differ between nodes.
    [[nodiscard]] std::uint64_t version() const;
    /// \returns whether the configuration in force was read from the store later than the known
    ///          records, and has newer rules than the store had then
    [[nodiscard]] bool has_older_rules_than_in_force() const;
    /// \returns the configuration, or null before the operator's rules are known
    [[nodiscard]] config::snapshot_ptr configuration();
    /// \returns the messages added since the last call
    [[nodiscard]] std::vector<inventory_note> take_notes();
    /// \returns what was read of the ends of targets since the last call, but for those of an
    ///          unknown process or registration
    [[nodiscard]] std::vector<withdrawn_target> take_withdrawn_targets();

private:
    struct known_target {
        target_registration content;
        std::uint64_t revision{0}; ///< revision of the registration
        /// Time at which the registration disappeared, if it did so because of an outage. The
        /// target stays in use until return_time ends.
        std::optional<instant> lapsed_at;
        /// Read from a restored store, not in force, and not written again. It isn't used until
        /// registration_time ends.
        bool is_unconfirmed{false};
    };

    /// A registration that was removed, which a restored store may show again.
    struct removed_target {
        std::uint64_t revision{0}; ///< revision of the registration
        std::uint64_t started_ms{0};
        std::uint64_t heartbeat{0};
        instant removed_at{};
    };

    void apply_record(const feed_record& record, instant now);
    /// \brief Handles a record that can't be used.
    void reject_record(const feed_record& record, const error& reason, instant now);
    void apply_rules(const feed_record& record, const operator_rules& rules);
    void apply_target(const std::string& key, std::uint64_t revision,
                      const target_registration& content);
    /// Removes the target of a record, or marks it as lapsed if the store had an outage.
    void remove_target(const feed_record& record, instant now);
    /// Remembers a target that is about to be removed.
    void record_removal(const std::string& key, const known_target& target, instant now);
    /// \returns the keys of the targets in a restored store's list that may have left
    [[nodiscard]] std::vector<std::string> find_unconfirmed(const feed_page& all,
                                                            instant now) const;
    /// Uses the targets of a restored store that it still shows, if registration_time is over.
    void confirm_remaining(instant now);
    /// \returns whether a registration was written before the target's removal
    [[nodiscard]] bool is_from_before_removal(const std::string& key, std::uint64_t revision,
                                              const target_registration& content) const;
    void add_withdrawn_target(const target_registration& target, target_change change,
                              std::uint64_t revision);
    void add_note(const char* what, const known_target& about, const std::string& key,
                  std::uint64_t revision);
    void end_outage(instant when);
    [[nodiscard]] bool has_lapsed_targets() const;
    [[nodiscard]] bool has_unconfirmed_targets() const;
    /// \returns whether the store is in an outage, or return_time after one has not passed yet
    [[nodiscard]] bool in_return_window(instant now) const;
    [[nodiscard]] bool is_in_force(const target_registration& target) const;
    /// \returns whether a record names a target: its service is one of the operator's. Any other
    ///          was written by another system, and says nothing about the targets with its address
    ///          or key.
    [[nodiscard]] bool names_target(const target_registration& record) const;
    /// \returns the first words of a log message about a record
    /// \param otherwise the message if the record names a target that isn't leaving
    [[nodiscard]] const char* describe(const target_registration& record,
                                       const char* otherwise) const;
    /// \returns the targets for the configuration: one for each address, none that is leaving or
    ///          unconfirmed
    /// \param services the operator's services
    [[nodiscard]] std::vector<const known_target*>
    usable_targets(const std::map<service_name, config::service>& services) const;
    [[nodiscard]] config::snapshot build() const;

    inventory_options options_;
    std::uint64_t era_{0};        ///< era of the known records
    std::uint64_t as_of_{0};      ///< a revision of that era
    std::uint64_t latest_era_{0}; ///< latest era that any node has seen, as far as this node knows
    std::map<std::string, known_target> targets_;   ///< by the key of their record
    std::map<std::string, removed_target> removed_; ///< by the key of their record
    std::optional<operator_rules> rules_;           ///< the newest that are known
    std::uint64_t stored_rules_version_{0};  ///< operator's version of the rules in the store
    bool in_outage_{false};                  ///< the store has not answered for outage_time
    instant last_answer_before_outage_{};    ///< last answer to any node before the last outage
    std::optional<instant> outage_ended_at_; ///< first answer to any node after the last outage
    std::optional<instant> restored_at_;     ///< time at which this node learned of the latest era
    config::snapshot_ptr configuration_in_force_;
    config::snapshot_ptr configuration_; ///< result of the last build()
    bool changed_since_build_{false};
    std::vector<inventory_note> notes_;
    std::vector<withdrawn_target> withdrawn_;
};

} // namespace wigeonrill::platform

#endif
