#ifndef WIGEONRILL_QUOTA_CREDIT_CLIENT_H
#define WIGEONRILL_QUOTA_CREDIT_CLIENT_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// \brief What is known of the credit of a request.
enum class credit_state : std::uint8_t {
    granted, ///< the request may run
    waiting, ///< a granter was asked
    refused, ///< the workspace has used up its limit
    unknown  ///< no granter answered in time
};

/// \brief State of a request's credit; for one that is refused or unknown, when to come back.
struct credit_result {
    credit_state state{credit_state::waiting};
    milliseconds retry_after{0};
};

/// \brief Result of a request that waited.
struct resolved_request {
    std::uint64_t request{0};
    credit_result result;
};

/// \brief Gets credit for the requests of a node from the granters of their workspaces. Not
///        thread-safe.
///
/// A request waits for the answer of a granter, usually for one round trip. One that refuses or
/// doesn't answer is followed by the next of the workspace's granters. Credit that comes too late
/// for its request serves the next one of the workspace, for a short time. A request that all
/// refuse waits if there is probably credit in time, and is refused at once otherwise.
class credit_client {
public:
    /// Longest wait of a request.
    static constexpr milliseconds max_wait{300};
    /// Time after the question for which credit may be used. It bounds how much later than granted
    /// requests can run.
    static constexpr milliseconds credit_lifetime{400};

    /// \param random random numbers for the choice of granters and the times to come back; must
    ///        outlive this object
    explicit credit_client(random_source& random) : random_(&random) {}

    /// \brief Sets the nodes among which the seats are divided.
    /// \param live nodes that respond, with this one
    /// \param size number of nodes among which limits are divided
    void set_nodes(node_id self, const std::vector<node_id>& live, const fleet_size& size,
                   instant now);
    /// \returns false before the first call of set_nodes()
    [[nodiscard]] bool has_granters() const { return voter_.has_granters(); }

    /// \brief Asks for the credit of a request.
    /// \param limited has a rate limit
    [[nodiscard]] credit_result request(std::uint64_t request, const config::workspace& limited,
                                        instant now);
    /// \brief Ends the wait of a request whose caller has left.
    void cancel(std::uint64_t request, const workspace_name& workspace, instant now);
    /// \brief Takes back the credit of a request that was refused for another reason.
    void refund(const workspace_name& workspace, instant now);
    /// \brief Takes an answer of a granter.
    void on_grant(const node_id& from, const credit_grant& grant, instant now);
    /// \brief Handles granters that don't answer, sends votes, and forgets credit that has expired.
    void tick(instant now);

    /// \returns the messages to send now
    [[nodiscard]] std::vector<outgoing_ask> take_asks(instant now);
    /// \returns the waiting requests whose result is known since the last call
    [[nodiscard]] std::vector<resolved_request> take_resolved() {
        return std::exchange(resolved_, {});
    }
    /// \returns the number of requests that wait
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiting_request {
        std::uint64_t request{0};
        instant until{};
    };
    struct credit {
        std::uint32_t count{0};
        instant expires{};
        seat of{0};
        node_id granter;
    };
    /// Question that was sent to a granter.
    struct question {
        workspace_name workspace;
        node_id granter;
        seat of{0};
        instant sent{};
        std::uint32_t wanted{0};
    };
    struct account {
        std::deque<waiting_request> waiting;
        std::vector<credit> credits;
        std::uint32_t open_question{0};          ///< number of the latest question; 0: none is open
        std::size_t first_seat{0};               ///< index of the seat that was asked first
        std::size_t asked_seats{0};              ///< seats asked since then
        std::optional<milliseconds> retry_after; ///< least one of the refusals since then
        instant refused_until{instant::min()};   ///< new requests are refused before
        instant ask_at{};                        ///< time to ask again for requests that wait
        instant used{};                          ///< last request
        std::optional<part_allowance> own_part;  ///< what this node may admit by itself
    };

    void ask_first_seat(const workspace_name& workspace, account& it, instant now);
    /// \brief Asks the next granter of a workspace; after the last one, refuses what waits.
    void ask_next_seat(const workspace_name& workspace, account& it, instant now);
    void send_question(const workspace_name& workspace, account& it, seat of, instant now);
    /// \brief Gives the credit that there is to the requests that wait.
    void serve_waiting(account& it, instant now);
    void refuse_waiting(account& it, instant now);
    void expire_waiting(account& it, instant now);
    void return_expired_credit(const workspace_name& workspace, account& it, instant now);
    /// \brief Takes a request from the part of the limit that this node has not lent.
    /// \returns false if the part is used up
    [[nodiscard]] bool take_own_part(account& it, const config::workspace& limited, instant now);
    /// \brief Takes one request's credit.
    /// \returns false if there is none
    [[nodiscard]] static bool take_credit(account& it, instant now);
    /// \returns a time from `least` to half as much again, so that callers don't return together
    [[nodiscard]] milliseconds spread(milliseconds least);
    void send_votes(instant now);
    [[nodiscard]] credit_ask& message_to(const node_id& granter);

    random_source* random_;
    node_id self_;
    std::uint32_t known_nodes_{1};
    seat_voter voter_;
    std::map<workspace_name, account> accounts_;            ///< of workspaces used lately
    std::unordered_map<std::uint32_t, question> questions_; ///< by number
    std::uint32_t last_number_{0};
    instant next_votes_{instant::min()};
    instant next_removal_{instant::min()};
    std::map<node_id, credit_ask> messages_; ///< not yet taken by take_asks()
    std::vector<resolved_request> resolved_;
};

} // namespace wigeonrill::quota

#endif
