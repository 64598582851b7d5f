#ifndef WIGEONRILL_QUOTA_CREDIT_GRANTER_H
#define WIGEONRILL_QUOTA_CREDIT_GRANTER_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// Share of a limit that may be granted beyond it, so that callers who stay below the limit aren't
/// refused for the delays of messages.
inline constexpr double spare_share = 0.1;

/// \returns the requests that may come at once within a limit
[[nodiscard]] inline double burst_of(const config::workspace& limited) {
    return limited.burst > 0.0 ? limited.burst : limited.requests_per_second;
}

/// \brief Grants credit for the seats of which nodes hold this node the granter. Not thread-safe.
///
/// Each node votes for one granter of a seat at a time. A granter counts a vote for `vote_lifetime`
/// and grants the part of each limit that corresponds to its share of the votes. So all granters of
/// a seat together grant one limit, however the fleet is split, without asking each other.
class credit_granter {
public:
    /// Time for which a vote counts after it was received.
    static constexpr milliseconds vote_lifetime{1'400};

    /// \brief Sets the number of nodes whose votes make up a whole limit.
    void set_fleet_size(const fleet_size& size, instant now);
    /// \brief Forgets the votes, because this process was paused: nodes may have changed their
    ///        granters, and old messages may still come.
    void on_pause(instant now);
    /// \brief Takes votes and returned credit, and grants what is available.
    /// \param workspaces limits in force at this node
    /// \returns the answer to the requests; it needn't be sent if there are none
    [[nodiscard]] credit_grant on_ask(const node_id& from, const credit_ask& ask,
                                      const config::workspace_directory& workspaces, instant now);

    /// \returns the share of a seat's limits that this node may grant: that of its votes among all
    ///          nodes, at most 1
    [[nodiscard]] double share_of(seat one, instant now);
    /// \returns the number of workspaces for which this node has granted credit recently
    [[nodiscard]] std::size_t size() const { return accounts_.size(); }

private:
    struct seat_state {
        std::unordered_map<node_id, instant> votes; ///< time until which each counts
        instant counted_at{instant::min()};         ///< last removal of votes that ended
        instant since{};               ///< since when it has had at least half of its votes
        std::size_t votes_at_since{0}; ///< votes at that time
    };
    struct account {
        double level{0.0};    ///< requests that may be granted now; may have a fraction
        double depth{0.0};    ///< largest level, at the time `updated`
        double rate{0.0};     ///< requests per second, at the same time
        double promised{0.0}; ///< refused requests that were told to come back
        instant updated{};
    };
    using account_key = std::pair<seat, std::string>;

    void count_votes(const node_id& from, const credit_ask& ask, instant now);
    /// \returns the account of a workspace, filled up to now
    account& refill(seat one, const config::workspace& limited, instant now);
    [[nodiscard]] credit_answer answer(const credit_request& asked,
                                       const config::workspace_directory& workspaces, instant now);
    void remove_idle_accounts(instant now);

    std::array<seat_state, seat_count> seats_;
    std::map<account_key, account> accounts_;
    fleet_size size_;
    double reported_nodes_{0.0};                ///< largest number that voters have reported lately
    instant reported_at_{};                     ///< when it was reported
    instant started_{instant::min()};           ///< first call of set_fleet_size()
    instant counts_votes_from_{instant::min()}; ///< votes before are ignored
    instant next_removal_{};
};

} // namespace wigeonrill::quota

#endif
