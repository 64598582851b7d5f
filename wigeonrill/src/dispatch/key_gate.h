#ifndef WIGEONRILL_DISPATCH_KEY_GATE_H
#define WIGEONRILL_DISPATCH_KEY_GATE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Decision on the key of an at-most-once request.
struct key_decision {
    enum class action : std::uint8_t {
        run,     ///< the request holds the key and may be placed
        wait,    ///< another request holds the key; see key_gate::waiters()
        forward, ///< another node owns the key
        replay,  ///< the stored answer is given
        refuse
    };
    action what{action::refuse};
    std::optional<once::dedup_key> key;                   ///< for run and wait
    endpoint owner;                                       ///< for forward
    std::shared_ptr<const traffic::stored_answer> answer; ///< for replay
    refusal_kind kind{refusal_kind::key_invalid};         ///< for refuse
    traffic::outcome result{traffic::outcome::unknown};   ///< for refuse
    std::optional<seconds> retry_after;                   ///< for refuse
};

/// \brief Owner rules and deduplication table of this process. Not thread-safe.
class key_gate {
public:
    /// \param own traffic address of this process
    /// \param incarnation number that no other process of this address ever has
    /// \param started reading of the clocks at the start
    key_gate(endpoint own, std::uint64_t incarnation, moment started);

    /// \returns a new key that only this process may run
    [[nodiscard]] std::string issue(instant now) { return issuer_.issue(now); }
    /// \brief Records that platform or a peer confirmed the configuration in force.
    void set_confirmed(wall_time when) { confirmed_ = std::max(confirmed_, when); }

    /// \brief Decides on a request with a key.
    /// \param id request that waits or holds the key afterwards
    [[nodiscard]] key_decision admit(const traffic::request_info& info,
                                     const config::snapshot& configuration, moment at);
    /// \brief Records that a target may get bytes from now on.
    void on_send(const once::dedup_key& key) { table_.on_send(key); }
    /// \brief Records that the attempt was shed or that no byte was written.
    void on_not_sent(const once::dedup_key& key) { table_.on_not_sent(key); }
    /// \brief Ends the run of a key.
    /// \param answer for done; null: the answer is not kept
    /// \returns the requests that waited for it
    [[nodiscard]] std::vector<std::uint64_t>
    finish(const once::dedup_key& key, once::key_state state,
           std::shared_ptr<const traffic::stored_answer> answer, instant now);
    /// \brief Removes a request that waits no longer.
    void leave(const once::dedup_key& key, std::uint64_t id);

    /// \returns the stored answer of a done key, or null
    [[nodiscard]] std::shared_ptr<const traffic::stored_answer>
    answer(const once::dedup_key& key) const;
    /// \returns all requests that wait for another one with their key
    [[nodiscard]] std::vector<std::uint64_t> waiters() const;
    /// \returns number of keys in the table
    [[nodiscard]] std::size_t keys() const { return table_.size(); }

private:
    [[nodiscard]] key_decision by_owner(const once::idempotency_key& key, bool from_node,
                                        const config::snapshot& configuration, moment at) const;
    [[nodiscard]] key_decision by_table(const once::dedup_key& key, std::uint64_t fingerprint,
                                        std::uint64_t id, instant now);

    endpoint own_;
    std::uint64_t incarnation_;
    moment started_;
    wall_time confirmed_{wall_time::min()};
    once::key_issuer issuer_;
    once::dedup_table table_;
    std::map<once::dedup_key, std::vector<std::uint64_t>> waiters_;
};

} // namespace wigeonrill::dispatch

#endif
