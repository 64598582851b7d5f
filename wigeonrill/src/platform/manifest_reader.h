#ifndef WIGEONRILL_PLATFORM_MANIFEST_READER_H
#define WIGEONRILL_PLATFORM_MANIFEST_READER_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Address of this node, and how often it calls the configuration service.
struct manifest_reader_settings {
    endpoint self;                    ///< peer address of this node, as it stands in the VM list
    milliseconds start_delay{30'000}; ///< the first call is made at a random time within this delay
    /// Mean time between polls. Each interval is chosen at random between half and 1.5 times this.
    milliseconds poll_mean{300'000};
    milliseconds watch_wait{55'000}; ///< longest wait of one watch call
    double calls_per_second{20.0};   ///< sustained limit of the call rate
    double call_burst{40.0};         ///< number of calls that may be made back to back
    milliseconds first_backoff{1'000};
    milliseconds max_backoff{300'000};
};

/// \brief The version of the configuration that is in force on this node.
struct version_in_force {
    std::uint64_t version{0};                ///< 0 if there is none yet
    std::string digest;                      ///< digest of the whole configuration
    std::vector<config::shard_entry> shards; ///< sorted by name
};

/// \brief The next step of the reader: a call to make now, or a time to wait until.
struct manifest_reader_call {
    enum class kind : std::uint8_t { wait, get, watch };
    kind what{kind::wait};
    std::string key;        ///< key to get or watch
    std::uint64_t after{0}; ///< watch: index of the manifest that is known
    milliseconds wait{0};   ///< watch: longest time to wait for a change
    instant until{};        ///< wait: time at which to ask for the next step
};

/// \brief A result for the control thread.
struct manifest_reader_event {
    enum class kind : std::uint8_t {
        changes,   ///< a new version was read; its change set is to be offered to the store
        confirmed, ///< the version in force is still the newest one of the platform
        problem    ///< a failure to be logged; the reader retries by itself
    };
    kind what{kind::problem};
    config::change_set changes; ///< set for changes
    std::uint64_t version{0};   ///< set for changes and confirmed
    error reason;               ///< set for problem
};

/// \brief Decides which calls to make to the configuration service and assembles the answers into
///        change sets. Pure: performs no calls and reads no clock.
///
/// It reads the manifest, then the shards that differ from the version in force. A watcher (see
/// is_watcher()) then waits for the next manifest with watch calls; other nodes poll it.
class manifest_reader {
public:
    /// \param random must outlive this object
    manifest_reader(manifest_reader_settings settings, random_source& random, instant now);

    /// \brief Sets the version in force, which was read by this reader or received from a peer.
    void set_version_in_force(version_in_force held);
    /// \brief Sets the VM list, which determines whether this node watches or polls.
    void set_vms(const std::vector<config::vm_record>& vms);
    /// \brief Records that the store rejected a version, so that its shards are not read again.
    void skip(std::uint64_t version, const std::string& digest);

    /// \returns the next step; each get or watch must be followed by handle_answer()
    [[nodiscard]] manifest_reader_call next_call(instant now);
    /// \brief Handles the answer to a call.
    /// \param answer the value, nothing if it did not change, or an error
    void handle_answer(const manifest_reader_call& call,
                       const result<std::optional<stored_value>>& answer, instant now);
    /// \returns the events since the last call
    [[nodiscard]] std::vector<manifest_reader_event> take_events();

    /// \returns whether this node watches instead of polling
    [[nodiscard]] bool watching() const { return watching_; }

private:
    void handle_manifest(const stored_value& value, instant now);
    void handle_shard(const manifest_reader_call& call, const stored_value& value, instant now);
    void evaluate_manifest(manifest next);
    void plan_shard_reads();
    void emit_change_set();
    void drop_read_state();
    void handle_unchanged(const manifest_reader_call& call, instant now);
    void schedule_retry(instant now, const error& reason);
    void report_problem(error reason);
    void schedule_poll(instant now);

    manifest_reader_settings settings_;
    random_source* random_;
    call_budget budget_;
    backoff backoff_;
    version_in_force version_in_force_;
    /// Version and digest of configurations that the store rejected, oldest first.
    std::vector<std::pair<std::uint64_t, std::string>> skipped_versions_;
    std::optional<manifest> manifest_in_progress_;   ///< manifest whose shards are being read
    std::deque<config::shard_entry> missing_shards_; ///< shards of it that are still to be read
    std::map<std::string, config::shard> collected_shards_; ///< shards already read, by name
    std::string collected_manifest_digest_; ///< digest of the manifest of collected_shards_
    std::vector<manifest_reader_event> events_;
    std::uint64_t manifest_index_{0};        ///< index of the last manifest; 0: get, don't watch it
    std::uint64_t last_manifest_version_{0}; ///< version in the last manifest
    std::string last_manifest_digest_;       ///< digest in the last manifest
    instant next_poll_at_;                   ///< time of the next get of the manifest
    instant backoff_until_;                  ///< no call is made before this time
    instant last_call_at_{};                 ///< time at which the last call was made
    bool watching_{false};                   ///< this node watches instead of polling
};

} // namespace wigeonrill::platform

#endif
