#ifndef WIGEONRILL_ONCE_DEDUP_TABLE_H
#define WIGEONRILL_ONCE_DEDUP_TABLE_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief State of a key at its owner.
enum class key_state : std::uint8_t {
    queued,  ///< a request holds the key, and no target received a byte of it yet
    sent,    ///< a target may have received a byte of the request
    done,    ///< a target answered the request
    not_run, ///< the request was refused, and no target received a byte of it
    unknown  ///< a target may have run the request; it is never run again
};

/// \brief Names of the states in log lines.
inline constexpr enum_name_table<key_state, 5> key_state_names{{
    {key_state::queued, "queued"},
    {key_state::sent, "sent"},
    {key_state::done, "done"},
    {key_state::not_run, "not_run"},
    {key_state::unknown, "unknown"},
}};

/// \brief Idempotency key with the scope in which it is unique, see key_scope().
struct dedup_key {
    std::string scope;
    std::string key;

    friend auto operator<=>(const dedup_key&, const dedup_key&) = default;
};

/// \brief What to do with a request that carries a key.
enum class begin_outcome : std::uint8_t {
    run,                  ///< the request now holds the key and must call finish() at its end
    wait,                 ///< another request holds the key; wait for its end
    replay,               ///< answered before; send the stored answer
    answer_not_kept,      ///< answered before, but the answer was too large to keep
    unknown,              ///< a target may have run the request before
    fingerprint_mismatch, ///< the key was used by a request with another fingerprint
    table_full            ///< the table has no room for a new key
};

/// \brief States and answers of the keys that this node owns. Not thread-safe.
///
/// An entry is dropped when the retention time has passed since its last change, but never while it
/// is queued or sent. A full table refuses new keys, because dropping an entry early would let its
/// request run twice.
class dedup_table {
public:
    /// \param max_entries maximum number of keys
    /// \param max_answer_bytes maximum size of all stored answers; answers beyond it are not kept
    dedup_table(std::size_t max_entries, std::size_t max_answer_bytes)
        : max_entries_(max_entries), max_answer_bytes_(max_answer_bytes) {}

    /// \brief Sets how long entries are kept after their last change.
    void set_retention(nanoseconds retention) { retention_ = retention; }
    /// \brief Looks up a key and starts its run if it is new or in state not_run.
    /// \param fingerprint fingerprint of the request and its body
    [[nodiscard]] begin_outcome begin(const dedup_key& key, std::uint64_t fingerprint, instant now);
    /// \brief Records that a target may receive bytes from now on. Must be called before the first
    /// byte is written.
    void on_send(const dedup_key& key);
    /// \brief Records that the attempt was shed or that no byte of it was written.
    void on_not_sent(const dedup_key& key);
    /// \brief Ends the run of a key with its result.
    /// \param state done, not_run or unknown
    /// \param answer answer to keep for state done; larger ones than 64 KB are not kept
    void finish(const dedup_key& key, key_state state, stored_answer answer, instant now);

    /// \returns the state of a key, or nothing if it has no unexpired entry
    [[nodiscard]] std::optional<key_state> state(const dedup_key& key, instant now) const;
    /// \returns the stored answer of a key, with null content if there is none
    [[nodiscard]] stored_answer answer(const dedup_key& key) const;
    /// \returns the age up to which a missing entry proves that a key was never started here: the
    ///          time since the last change of the newest entry that was dropped
    [[nodiscard]] nanoseconds known_history(instant now) const;
    /// \returns number of entries
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// \returns size of all stored answers
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct entry {
        std::uint64_t fingerprint{0};
        key_state state{key_state::queued};
        stored_answer answer;
        instant changed{}; ///< when the key was first begun or last finished
    };
    [[nodiscard]] bool is_expired(const entry& it, instant now) const;
    void drop_expired(instant now);
    /// \returns the entry of a key that is queued or sent
    entry& entry_in_progress(const dedup_key& key);

    std::size_t max_entries_;
    std::size_t max_answer_bytes_;
    std::size_t answer_bytes_{0}; ///< size of all stored answers
    nanoseconds retention_{std::chrono::minutes(10)};
    std::optional<instant> newest_dropped_; ///< last change of the newest dropped entry
    std::map<dedup_key, entry> entries_;
    std::deque<std::pair<instant, dedup_key>> finish_order_; ///< finished entries, oldest first
};

} // namespace wigeonrill::once

#endif
