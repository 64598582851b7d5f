#ifndef WIGEONRILL_HEALTH_SILENCE_EVIDENCE_H
#define WIGEONRILL_HEALTH_SILENCE_EVIDENCE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Decides whether a target that took no connections for a while, and then ended those that
///        it had, has crashed, or whether a link or this node is at fault. Not thread-safe.
///
/// A crashed target answers nobody in that time, while this node gets answers of other targets.
class silence_evidence {
public:
    /// \brief Takes an answer of a target to this node.
    void on_answer(const target_id& target, instant when);
    /// \brief Takes another node's observation that a target answers.
    void on_peer_success(const target_id& target, instant when);

    /// \param from when the first connection that failed was tried
    /// \param until when the last one was tried
    [[nodiscard]] bool shows_crash(const target_id& target, instant from, instant until) const;

private:
    /// Times in order. One of several that are close together is kept.
    using times = std::deque<instant>;
    struct entry {
        times own;   ///< answers to this node
        times peers; ///< successes of other nodes
    };
    static void add(times& all, instant when);
    [[nodiscard]] static bool has_any(const times& all, instant after, instant until);

    /// \brief Forgets the targets without recent times, every few seconds.
    void forget_old(instant now);

    std::unordered_map<target_id, entry> targets_;
    instant next_forgetting_{};
};

} // namespace wigeonrill::health

#endif
