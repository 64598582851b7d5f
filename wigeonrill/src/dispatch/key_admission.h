#ifndef WIGEONRILL_DISPATCH_KEY_ADMISSION_H
#define WIGEONRILL_DISPATCH_KEY_ADMISSION_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Decision on the key of an at-most-once request.
struct key_decision {
    enum class action : std::uint8_t {
        run,     ///< the request holds the key and may be sent to a target
        wait,    ///< another request holds the key; the request is among waiters() now
        forward, ///< another node owns the key and must handle the request
        replay,  ///< the key was answered before; the stored answer is sent again
        refuse   ///< the request is refused
    };
    action chosen_action{action::refuse};
    std::optional<once::dedup_key> key;                   ///< key in its scope; for run and wait
    endpoint owner;                                       ///< node to forward to; for forward
    std::shared_ptr<const traffic::stored_answer> answer; ///< stored answer; for replay
    refusal_kind kind{refusal_kind::key_invalid};         ///< reason; for refuse
    traffic::outcome result{traffic::outcome::unknown};   ///< whether it may have run; for refuse
    std::optional<milliseconds> retry_after;              ///< Retry-After value; for refuse
};

/// \brief Decides what to do with a request that carries an idempotency key. Not thread-safe.
///
/// Combines the rules on which node owns a key with this process's deduplication table, and keeps
/// the requests that wait for another request with the same key.
class key_admission {
public:
    /// \param own_address traffic address of this node
    /// \param incarnation number that no other process of this address ever has
    /// \param started clocks at the start of this process
    key_admission(endpoint own_address, std::uint64_t incarnation, clock_reading started);

    /// \returns a new key that only this process may run
    [[nodiscard]] std::string issue(instant now) { return issuer_.issue(now); }
    /// \brief Records when the platform or a peer confirmed the current configuration. Only the
    ///        latest time counts.
    void set_config_confirmed_at(wall_time when) { confirmed_ = std::max(confirmed_, when); }

    /// \brief Decides about a request with a key. Afterwards the request may hold the key or be one
    ///        of its waiters.
    /// \param configuration snapshot with the owner rules
    [[nodiscard]] key_decision admit(const traffic::request_info& info,
                                     const config::snapshot& configuration, clock_reading at);
    /// \brief Records that the holder's request may be written to a target from now on.
    void on_send(const once::dedup_key& key) { table_.on_send(key); }
    /// \brief Records that the attempt was shed or that no byte was written.
    void on_not_sent(const once::dedup_key& key) { table_.on_not_sent(key); }
    /// \brief Records the final state of a key after its request ended.
    /// \param answer answer to store, for key_state::done; null: the answer is not stored
    /// \returns ids of the requests that waited for the key
    [[nodiscard]] std::vector<std::uint64_t>
    finish(const once::dedup_key& key, once::key_state state,
           std::shared_ptr<const traffic::stored_answer> answer, instant now);
    /// \brief Removes a request from the waiters of a key.
    /// \param id id of the request
    void remove_waiter(const once::dedup_key& key, std::uint64_t id);

    /// \returns the stored answer of a done key, or null
    [[nodiscard]] std::shared_ptr<const traffic::stored_answer>
    find_answer(const once::dedup_key& key) const;
    /// \returns ids of all requests that wait for another request with the same key
    [[nodiscard]] std::vector<std::uint64_t> waiters() const;
    /// \returns number of keys in the table
    [[nodiscard]] std::size_t keys() const { return table_.size(); }

private:
    /// \brief Decides about a key without a table entry by the owner rules.
    [[nodiscard]] key_decision decide_by_owner(const once::idempotency_key& key, bool passed_on,
                                               const config::snapshot& configuration,
                                               clock_reading at) const;
    /// \brief Starts or finds the key in the deduplication table and decides by its state.
    [[nodiscard]] key_decision decide_by_table(const once::dedup_key& key,
                                               std::uint64_t fingerprint, std::uint64_t id,
                                               instant now);

    endpoint own_address_;
    std::uint64_t incarnation_;
    clock_reading started_;
    wall_time confirmed_{wall_time::min()}; ///< last confirmation of the configuration
    once::key_issuer issuer_;
    once::dedup_table table_;
    std::map<once::dedup_key, std::vector<std::uint64_t>> waiters_; ///< request ids
};

} // namespace wigeonrill::dispatch

#endif
