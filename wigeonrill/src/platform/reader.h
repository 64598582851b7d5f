#ifndef WIGEONRILL_PLATFORM_READER_H
#define WIGEONRILL_PLATFORM_READER_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief How often a node calls the platform.
struct reader_settings {
    endpoint self;                    ///< peer address of this node, as the VM list names it
    milliseconds start_delay{30'000}; ///< the first call comes at random within this time
    milliseconds poll_mean{300'000};  ///< polls come at random between half and 1.5 times this
    milliseconds watch_wait{55'000};  ///< longest wait of one watch call
    double calls_per_second{20.0};    ///< long-run limit of calls
    double call_burst{40.0};
    milliseconds first_backoff{1'000};
    milliseconds most_backoff{300'000};
};

/// \brief The version in force, as the reader needs to know it.
struct held_version {
    std::uint64_t version{0}; ///< 0: none
    std::string digest;
    std::vector<config::shard_entry> shards; ///< sorted by name
};

/// \brief A call to make now, or the time to ask again.
struct reader_call {
    enum class kind : std::uint8_t { wait, get, watch };
    kind what{kind::wait};
    std::string key;
    std::uint64_t after{0}; ///< for watch
    milliseconds wait{0};   ///< for watch
    instant until{};        ///< for wait
};

/// \brief Something that the control thread has to know.
struct reader_event {
    enum class kind : std::uint8_t {
        changes,   ///< offer the change set to the store
        confirmed, ///< the platform still has this version as its newest
        problem    ///< for the log; the reader goes on by itself
    };
    kind what{kind::problem};
    config::change_set changes;
    std::uint64_t version{0};
    error reason;
};

/// \brief Decides which calls to the platform to make, and puts their answers together. Pure: time
/// and random numbers are passed in.
class reader {
public:
    reader(reader_settings settings, random_source& random, instant now);

    /// \brief Sets the version in force, whether it came from here or from a peer.
    void set_held(held_version held);
    /// \brief Sets the VM list, which decides whether this node watches or polls.
    void set_vms(const std::vector<config::vm_record>& vms);
    /// \brief Remembers that the store rejected a version, so that it isn't read again.
    void skip(std::uint64_t version, const std::string& digest);

    /// \returns the call to make now; each call but wait must be followed by answered()
    [[nodiscard]] reader_call next(instant now);
    /// \brief Takes the answer to a call. An empty optional means: not changed.
    void answered(const reader_call& call, const result<std::optional<stored_value>>& answer,
                  instant now);
    /// \returns the events since the last query
    [[nodiscard]] std::vector<reader_event> take_events();

    /// \returns whether this node holds a watch
    [[nodiscard]] bool watching() const { return watching_; }

private:
    void manifest_answered(const stored_value& value, instant now);
    void shard_answered(const reader_call& call, const stored_value& value, instant now);
    void consider(manifest next);
    void plan();
    void complete();
    void abandon();
    void unchanged(const reader_call& call, instant now);
    void retry(instant now, const error& reason);
    void report(error reason);
    void schedule_poll(instant now);

    reader_settings settings_;
    random_source* random_;
    call_budget budget_;
    backoff backoff_;
    held_version held_;
    std::vector<std::pair<std::uint64_t, std::string>> skipped_;
    std::optional<manifest> reading_;                ///< manifest whose shards are being read
    std::deque<config::shard_entry> missing_;        ///< its shards that were not read yet
    std::map<std::string, config::shard> collected_; ///< its shards that were read, by name
    std::string collected_digest_;                   ///< digest of the manifest they belong to
    std::vector<reader_event> events_;
    std::uint64_t index_{0};        ///< index of the last manifest, 0: read it first
    std::uint64_t seen_version_{0}; ///< version of the last manifest
    std::string seen_digest_;
    instant next_manifest_;
    instant not_before_; ///< end of the backoff
    instant called_{};   ///< when the last call was made
    bool watching_{false};
};

} // namespace wigeonrill::platform

#endif
