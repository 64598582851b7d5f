#ifndef WIGEONRILL_ONCE_DEDUP_TABLE_H
#define WIGEONRILL_ONCE_DEDUP_TABLE_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief State of a key at its owner.
enum class key_state : std::uint8_t {
    queued,  ///< a request runs it, but no target got a byte of it yet
    sent,    ///< a target may have got a byte of it
    done,    ///< a target answered it
    not_run, ///< refused, and no target got a byte of it
    unknown  ///< a target may have run it; it is never run again
};

/// \brief Names of the states in log lines.
inline constexpr enum_name_table<key_state, 5> key_state_names{{
    {key_state::queued, "queued"},
    {key_state::sent, "sent"},
    {key_state::done, "done"},
    {key_state::not_run, "not_run"},
    {key_state::unknown, "unknown"},
}};

/// \brief Key within its name space.
struct dedup_key {
    std::string scope;
    std::string key;

    friend auto operator<=>(const dedup_key&, const dedup_key&) = default;
};

/// \brief What to do with a request that comes with a key.
enum class begin_outcome : std::uint8_t {
    run,             ///< the request holds the key now and must end with finish()
    wait,            ///< another request holds the key
    replay,          ///< answered before; the stored answer is given
    answer_not_kept, ///< answered before, but the answer was too large to keep
    unknown,         ///< a target may have run it
    other_request,   ///< the key belongs to a request with another fingerprint
    full             ///< no room for a new key
};

/// \brief Deduplication entries of a key owner. Not thread-safe.
///
/// Entries live for the retention after their last change; those in queued or sent are never
/// dropped. A full table refuses new keys, because dropping an entry early would let its key run
/// twice.
class dedup_table {
public:
    /// \param max_entries most keys
    /// \param max_answer_bytes most bytes of stored answers; answers beyond it are not kept
    dedup_table(std::size_t max_entries, std::size_t max_answer_bytes)
        : max_entries_(max_entries), max_answer_bytes_(max_answer_bytes) {}

    /// \brief Sets how long entries live after their last change.
    void set_retention(nanoseconds retention) { retention_ = retention; }
    /// \brief Starts or finds a key. A not_run key may be run again by a later request.
    /// \param fingerprint of the request with its body
    [[nodiscard]] begin_outcome begin(const dedup_key& key, std::uint64_t fingerprint, instant now);
    /// \brief Records that a target may get bytes from now on. Called before the first byte.
    void on_send(const dedup_key& key);
    /// \brief Records that the attempt was shed or that no byte was written.
    void on_not_sent(const dedup_key& key);
    /// \brief Ends the run of a key.
    /// \param state done, not_run or unknown
    /// \param answer for done; up to 64 KB is kept
    void finish(const dedup_key& key, key_state state, stored_answer answer, instant now);

    /// \returns the state of a key, or nothing when there is no entry at this time
    [[nodiscard]] std::optional<key_state> state(const dedup_key& key, instant now) const;
    /// \returns the stored answer of a done key, with null content if there is none
    [[nodiscard]] stored_answer answer(const dedup_key& key) const;
    /// \returns the time since the last change of the newest entry that was dropped; a key that is
    ///          younger and has no entry was never begun here
    [[nodiscard]] nanoseconds remembered(instant now) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct entry {
        std::uint64_t fingerprint{0};
        key_state state{key_state::queued};
        stored_answer answer;
        instant changed{};
    };
    [[nodiscard]] bool expired(const entry& it, instant now) const;
    void drop_expired(instant now);
    entry& running(const dedup_key& key);

    std::size_t max_entries_;
    std::size_t max_answer_bytes_;
    std::size_t answer_bytes_{0};
    nanoseconds retention_{std::chrono::minutes(10)};
    std::optional<instant> dropped_; ///< last change of the newest dropped entry
    std::map<dedup_key, entry> entries_;
    std::deque<std::pair<instant, dedup_key>> ends_; ///< finished entries, oldest change first
};

} // namespace wigeonrill::once

#endif
