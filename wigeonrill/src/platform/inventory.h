#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_INVENTORY_H
#define WIGEONRILL_PLATFORM_INVENTORY_H

namespace wigeonrill::platform {

/// \brief Rules for what the platform's records leave open.
struct inventory_options {
    double floor_share{0.7}; ///< share of a service's slots that ejection must leave
    config::health_weight weight{config::health_weight::detection};
    milliseconds cold_start{3'000}; ///< time after a start in which slow answers are normal
    /// Time after an outage of the store in which targets whose registration lapsed come back.
    milliseconds return_time{2'000};
    /// Time without an answer to any node that makes an outage. A shorter gap lets nothing lapse.
    milliseconds outage_time{1'000};
};

/// \brief Something that the inventory learned, for the log.
struct inventory_note {
    bool is_fault{false}; ///< a record that was not used
    std::string what;     ///< a sentence
    std::string key;      ///< of the record
    std::string detail;
    std::uint64_t revision{0}; ///< of the record, 0: unknown
};

/// \brief Targets and rules of the platform's store, as a configuration. Pure.
///
/// Registrations that disappear end at once, except during and shortly after an outage of the
/// store: then those of targets in force may have lapsed only because nobody could renew them.
class inventory {
public:
    explicit inventory(inventory_options options) : options_(options) {}

    /// \brief Takes over all records.
    void replace(const feed_page& all, instant now);
    /// \brief Takes over changes.
    void apply(const feed_page& changes, instant now);
    /// \brief Records that the store could not be read.
    /// \param known when any node last read it, as far as this node heard
    void read_failed(instant known, instant now);
    /// \brief Sets the configuration in force, which may come from a peer that has read later.
    void set_in_force(config::snapshot_ptr configuration) { in_force_ = std::move(configuration); }
    /// \brief Drops lapsed registrations whose time to come back is over.
    void expire(instant now);
    /// \returns when lapsed registrations are to be dropped; nothing when there are none
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// \returns the revision up to which all changes are known, 0: nothing was read
    [[nodiscard]] std::uint64_t as_of() const { return as_of_; }
    /// \returns the configuration; null before the operator's rules are known
    [[nodiscard]] config::snapshot_ptr configuration();
    /// \returns what was learned since the last call
    [[nodiscard]] std::vector<inventory_note> take_notes();

private:
    struct entry {
        target_entry content;
        std::uint64_t revision{0};
        std::optional<instant> lapsed; ///< its registration is gone; used until return_time ends
    };

    void take(const feed_record& record, instant now);
    void take_rules(const feed_record& record, const operator_rules& rules);
    void take_target(const std::string& key, std::uint64_t revision, const target_entry& content);
    void remove(const feed_record& record, instant now);
    void note(const char* what, const entry& about, const std::string& key, std::uint64_t revision);
    [[nodiscard]] bool may_come_back(instant now) const;
    [[nodiscard]] bool is_in_force(const target_entry& target) const;
    [[nodiscard]] std::vector<const entry*> usable() const;
    [[nodiscard]] config::snapshot build() const;

    inventory_options options_;
    std::uint64_t as_of_{0};
    std::map<std::string, entry> targets_; ///< by key
    std::optional<operator_rules> rules_;
    bool out_{false};                 ///< the store is in an outage
    std::optional<instant> returned_; ///< first answer after the last outage
    config::snapshot_ptr in_force_;
    config::snapshot_ptr built_;
    bool changed_{false};
    std::vector<inventory_note> notes_;
};

} // namespace wigeonrill::platform

#endif
