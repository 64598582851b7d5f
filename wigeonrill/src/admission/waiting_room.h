#ifndef WIGEONRILL_ADMISSION_WAITING_ROOM_H
#define WIGEONRILL_ADMISSION_WAITING_ROOM_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Decides which requests of one service wait, in which order they get places, and which are
///        refused. Not thread-safe.
///
/// Load pattern: more requests arrive, for a while, than the targets can serve. Those whose refusal
/// costs their callers least are refused, early enough for the callers to do something else.
class waiting_room {
public:
    /// What becomes of a request that finds no target.
    enum class entry : std::uint8_t {
        waits,    ///< it is in the queue
        too_late, ///< it would wait so long that its work doesn't fit before its deadline
        full      ///< the queue is full of requests that are not less urgent
    };
    struct offer_result {
        entry decision{entry::full};
        std::optional<std::uint64_t> displaced; ///< request that lost its place to this one
    };

    /// \brief Sets the maximum number of waiting requests.
    void set_limit(std::size_t limit) { queue_.set_limit(limit); }

    /// \brief Records a new request.
    void on_request(std::uint32_t priority, instant now) { gate_.on_request(priority, now); }
    /// \returns true when set_level() is to be called
    [[nodiscard]] bool needs_level(instant now) const { return gate_.is_due(now); }
    /// \returns true when any priority is turned away
    [[nodiscard]] bool is_restricted() const { return gate_.is_closed(); }
    /// \brief Sets the outstanding requests per slot; 0 when the number isn't known.
    void set_level(double level, instant now) { gate_.update(level, now); }
    /// \returns true when a new request of a priority is to be refused to leave room to others
    [[nodiscard]] bool turns_away(std::uint32_t priority, instant now) const {
        return gate_.turns_away(priority) && shares_.may_yield(priority, now);
    }
    /// \brief Decides about a request that finds no target. The caller refuses the displaced one.
    [[nodiscard]] offer_result offer(std::uint64_t request, const urgency& how, instant now);

    /// \returns ids of the waiting requests in the order in which they get places
    [[nodiscard]] std::vector<std::uint64_t> serving_order(instant now);
    /// \brief Takes a waiting request out because it got a place.
    void on_served(std::uint64_t request, instant now);
    /// \brief Takes a request out if it waits.
    void remove(std::uint64_t request) { queue_.remove(request); }
    /// \brief Takes out the requests whose work doesn't fit before their deadlines any more. Those
    ///        that can't be answered within their target latency are judged by their place, too.
    [[nodiscard]] std::vector<std::uint64_t> remove_hopeless(instant now);
    /// \returns ids of all waiting requests, the most urgent first
    [[nodiscard]] std::vector<std::uint64_t> in_order(instant now) { return queue_.in_order(now); }
    /// \returns the number of waiting requests
    [[nodiscard]] std::size_t size() const { return queue_.size(); }

    /// \returns the wait of a request behind all others, if no more urgent ones come; 0 when it
    /// isn't
    ///          known
    [[nodiscard]] nanoseconds estimated_wait() const { return expected_wait(queue_.size(), 1.0); }

    /// \brief Counts a request that got its first target.
    void count_served(std::uint32_t priority, instant now) { shares_.on_served(priority, now); }
    /// \brief Counts a request that was refused for lack of room.
    void count_refused(std::uint32_t priority, instant now) { shares_.on_refused(priority, now); }

    /// \param draw random number, uniform in [0, 1)
    /// \returns the time after which the caller of a refused request should return
    [[nodiscard]] milliseconds return_after(const urgency& how, instant now, double draw);

private:
    /// Least share of the places that late requests can expect.
    static constexpr double least_late_share = 0.1;
    /// Expected time until there is room when nothing was measured.
    static constexpr seconds unmeasured_wait{1};

    /// \returns the index of the priority that gets the next place
    [[nodiscard]] std::size_t next_index(const std::vector<std::uint32_t>& priorities,
                                         instant now) const;
    /// \returns the share of the places that requests of a priority can expect, also after those
    ///          that will come and go before them (Cobham 1954)
    /// \param is_late they can't be answered within their target latency any more, so that later
    ///        ones of their own priority go before them, too
    [[nodiscard]] double share_of_places(std::uint32_t priority, bool is_late, instant now) const;
    /// \returns the expected wait of a request behind others, with that share
    [[nodiscard]] nanoseconds expected_wait(std::size_t ahead, double share) const;
    /// \returns the expected wait of a new request; nothing when there is no measurement
    [[nodiscard]] std::optional<nanoseconds> expected_wait(const urgency& how, instant now);
    [[nodiscard]] bool is_wait_too_long(const urgency& how, instant now);
    /// \brief Restarts the estimate of the wait when nothing waits.
    void reset_if_empty();

    wait_queue queue_{0};
    wait_estimator estimator_;
    queue_load load_;
    serving_turns turns_;
    served_shares shares_;
    priority_gate gate_;
};

} // namespace wigeonrill::admission

#endif
