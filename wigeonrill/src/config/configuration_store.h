#ifndef WIGEONRILL_CONFIG_CONFIGURATION_STORE_H
#define WIGEONRILL_CONFIG_CONFIGURATION_STORE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Result of configuration_store::apply().
enum class apply_outcome : std::uint8_t {
    accepted,      ///< the change set was valid, and its version is in force now
    not_newer,     ///< its version is not higher than the version in force
    older_rules,   ///< its version is higher, but the operator's rules in it are older
    base_mismatch, ///< it was made from another content; request the changes since version(), or
                   ///< since 0
    rejected       ///< its digest, format or content is invalid; see last_rejection()
};

/// \brief Names of the outcomes in log lines and on the status page.
inline constexpr enum_name_table<apply_outcome, 5> apply_outcome_names{{
    {apply_outcome::accepted, "accepted"},
    {apply_outcome::not_newer, "not_newer"},
    {apply_outcome::older_rules, "older_rules"},
    {apply_outcome::base_mismatch, "base_mismatch"},
    {apply_outcome::rejected, "rejected"},
}};

/// \brief Holds the configuration in force, and replaces it when a newer valid version arrives.
///
/// Neither its version nor the version of the operator's rules in it ever decreases. Not
/// thread-safe: only the control thread uses it.
class configuration_store {
public:
    configuration_store();
    configuration_store(const configuration_store&) = delete;
    configuration_store& operator=(const configuration_store&) = delete;
    ~configuration_store();

    /// \brief Applies a change set if it is newer than the version in force, complete and valid.
    /// \param now current wall time; if the change set is accepted, also its time of confirmation
    /// \returns the outcome; last_rejection() holds the reason of a rejection
    apply_outcome apply(const change_set& changes, wall_time now);

    /// \brief Records that this version was still the newest one of a source at a point in time.
    ///
    /// Ignored if another version is in force, or if a later confirmation is recorded already.
    void confirm(std::uint64_t version, wall_time when);

    /// \returns the configuration in force; null until the first version is accepted
    [[nodiscard]] snapshot_ptr current() const;
    /// \returns the version in force; 0 until the first version is accepted
    [[nodiscard]] std::uint64_t version() const;
    /// \returns when the platform or a peer last confirmed the version in force
    [[nodiscard]] wall_time confirmed_at() const;
    /// \brief Returns what a receiver needs that has the content of another version.
    ///
    /// These are the shards with a version above base. A shard's version may be above the one in
    /// which its content changed, if this node, or the one that it has the shard from, has not read
    /// that one; then the receiver gets shards that it has. A shard is missing only if it changed
    /// and changed back between two versions that a node has read, and base is between them. The
    /// receiver then finds that the content digest differs, and requests all shards.
    /// \param base version that the receiver of the changes has
    /// \returns the changes from base to the version in force, or all shards if it is no longer
    ///          known which shards were removed since base
    [[nodiscard]] change_set changes_since(std::uint64_t base) const;
    /// \brief Returns what a receiver needs that has these shards, whichever versions it has read.
    /// \returns the shards that differ; the same as changes_since() if its shards are not known
    [[nodiscard]] change_set changes_for(const change_base& base) const;
    /// \returns the version in force and the marks of its shards
    [[nodiscard]] change_base base() const;
    /// \returns the digest of the version in force with the versions of its shards, which earlier
    ///          builds and manifests compare; empty until the first version is accepted
    [[nodiscard]] const std::string& digest() const;
    /// \returns the digest of the content in force, which is equal on all nodes that have it; empty
    ///          until the first version is accepted
    [[nodiscard]] const std::string& content_digest() const;
    /// \returns name, version and digest of each shard in force, sorted by name
    [[nodiscard]] std::vector<shard_entry> shard_entries() const;
    /// \returns the newest change set in a format that this build can't read, which can be passed
    /// on
    ///          unchanged; empty once this version or a later one is in force
    [[nodiscard]] const std::optional<change_set>& unsupported_change_set() const;
    /// \returns the reason of the last rejection; empty if there was none
    [[nodiscard]] const std::optional<error>& last_rejection() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wigeonrill::config

#endif
