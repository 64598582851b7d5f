#ifndef WIGEONRILL_CONFIG_STORE_H
#define WIGEONRILL_CONFIG_STORE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief What became of an offered change set.
enum class apply_outcome : std::uint8_t {
    accepted,      ///< in force now
    not_newer,     ///< its version is not above the one in force
    base_mismatch, ///< it applies to another version; ask for changes since version() or since 0
    rejected       ///< digest, format or validation failed; remembered as skipped
};

/// \brief Names of the outcomes in logs and status.
inline constexpr enum_name_table<apply_outcome, 4> apply_outcome_names{{
    {apply_outcome::accepted, "accepted"},
    {apply_outcome::not_newer, "not_newer"},
    {apply_outcome::base_mismatch, "base_mismatch"},
    {apply_outcome::rejected, "rejected"},
}};

/// \brief Configuration in force. Its version never decreases. Used by the control thread only.
class store {
public:
    store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store();

    /// \brief Offers a change set; applies it when it is newer, complete and valid.
    /// \param now wall time, recorded as the time of the last confirmation when accepted
    /// \returns the outcome; last_rejection() tells the reason of a rejection
    apply_outcome apply(const change_set& changes, wall_time now);

    /// \brief Records that a source still had this version as its newest at a time.
    void confirm(std::uint64_t version, wall_time when);

    /// \returns the configuration in force; null before the first accepted version
    [[nodiscard]] snapshot_ptr current() const;
    /// \returns the version in force, 0 before the first
    [[nodiscard]] std::uint64_t version() const;
    /// \returns when platform or a peer last confirmed the version in force
    [[nodiscard]] wall_time confirmed() const;
    /// \param base version that the receiver has
    /// \returns the changes from base to the version in force, or everything if base is unknown
    [[nodiscard]] change_set changes_since(std::uint64_t base) const;
    /// \returns digest of the version in force, empty before the first
    [[nodiscard]] const std::string& digest() const;
    /// \returns the shards in force without their content, sorted by name
    [[nodiscard]] std::vector<shard_entry> entries() const;
    /// \returns the newest change set of a format that this build can't read, to be passed on as
    ///          received; nothing once a version at or above it is in force
    [[nodiscard]] const std::optional<change_set>& newer_format() const;
    /// \returns why the last rejected version was rejected
    [[nodiscard]] const std::optional<error>& last_rejection() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::config

#endif
