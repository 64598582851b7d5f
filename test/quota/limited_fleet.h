#ifndef WIGEONRILL_TEST_QUOTA_LIMITED_FLEET_H
#define WIGEONRILL_TEST_QUOTA_LIMITED_FLEET_H

#include "wigeonrill/quota.h"

#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <set>

namespace wigeonrill::test {

inline constexpr double window_s = 5.0;

/// What happens to the nodes of a limited_fleet.
enum class disturbance_kind : std::uint8_t {
    none,
    kill_third,   ///< a third of the nodes ends in the middle, for good
    all,          ///< splits, restarts and freezes at random
    seeds_gone,   ///< all nodes end at once, and all but the seeds start again
    one_seed_up,  ///< the same, but one seed starts, too
    seeds_return, ///< all nodes end at once; the seeds start some seconds after the others
    two_groups    ///< all nodes end at once and start in two groups, which meet some seconds later
};

/// Parameters of a limited_fleet.
struct fleet_plan {
    std::size_t nodes{93};
    std::size_t seeds{3}; ///< the first nodes, which all nodes contact
    std::size_t max_nodes{quota::default_max_nodes};
    double rate{20.0};   ///< limit of the workspace
    double burst{20.0};  ///< of the limit
    double demand{10.0}; ///< requests per second at all nodes together
    double skew{0.0};    ///< exponent of the shares of the nodes, which follow Zipf's law
    double loss{0.0};    ///< share of the messages that get lost
    milliseconds max_delay{15};
    seconds duration{30};
    disturbance_kind disturbances{disturbance_kind::none};
};

struct fleet_result {
    int requests{0};
    int refused{0};
    std::size_t most_in_window{0}; ///< most requests admitted in any span of `window_s`
    nanoseconds longest_wait{0};   ///< of an admitted request
};

/// Nodes that share the limit of one workspace over messages with delays. A process knows the seeds
/// and the nodes of which it or one that it has met has heard since its start. It sees that another
/// one has ended, or can't be reached, after 1.5 s.
class limited_fleet {
public:
    limited_fleet(const fleet_plan& plan, std::uint64_t seed)
        : plan_(plan), random_(seed), meeting_random_(seed), directory_(make_workspaces(plan)) {
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            ids_.emplace_back("10.0.0." + std::to_string(i) + ":70");
            nodes_.push_back(make_node(i));
        }
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            weights_.push_back(std::pow(static_cast<double>(i + 1), -plan.skew));
        }
    }

    fleet_result run() {
        // Requests start when the nodes know each other.
        for (now_ = at(0.0); now_ < at(5.0); now_ += step) {
            run_step(false);
        }
        for (const auto end = now_ + plan_.duration; now_ < end; now_ += step) {
            disturb();
            run_step(true);
        }
        return result_;
    }

private:
    static constexpr milliseconds step{5};
    static constexpr milliseconds tick_interval{50};
    static constexpr milliseconds detection_time{1'500};
    static constexpr milliseconds meeting_interval{250};

    struct node {
        node(random_source& random, std::size_t max_nodes) : client(random), census(max_nodes) {}
        quota::credit_client client;
        quota::credit_granter granter;
        quota::fleet_census census;
        std::set<std::size_t> heard; ///< nodes of which it has heard, with itself
        instant next_meeting{instant::min()};
        bool is_up{true};
        instant frozen_until{instant::min()};
        instant next_tick{instant::min()};
        std::size_t side{0};
        std::deque<std::function<void()>> inbox; ///< messages that arrived while it was frozen
    };
    struct delivery {
        instant when;
        std::uint64_t order;
        std::size_t to;
        std::function<void()> run;
        bool operator<(const delivery& other) const {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    static instant at(double s) {
        return instant(std::chrono::duration_cast<instant::duration>(
            std::chrono::duration<double>(1'000.0 + s)));
    }

    std::unique_ptr<node> make_node(std::size_t index) {
        auto made = std::make_unique<node>(random_, plan_.max_nodes);
        made->heard.insert(index);
        made->next_meeting = now_ + milliseconds(meeting_random_.next_below(
                                        static_cast<std::uint64_t>(meeting_interval.count())));
        return made;
    }

    static config::shared_list<config::workspace> make_workspaces(const fleet_plan& plan) {
        config::workspace limited;
        limited.name = workspace_name("w");
        limited.requests_per_second = plan.rate;
        limited.burst = plan.burst;
        return std::vector<config::workspace>{limited};
    }

    void run_step(bool with_requests) {
        while (!deliveries_.empty() && deliveries_.top().when <= now_) {
            const auto next = deliveries_.top();
            deliveries_.pop();
            auto& to = *nodes_[next.to];
            if (to.is_up && now_ < to.frozen_until) {
                to.inbox.push_back(next.run);
            } else if (to.is_up) {
                next.run();
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& it = *nodes_[i];
            if (!it.is_up || now_ < it.frozen_until) {
                continue;
            }
            for (const auto& message : std::exchange(it.inbox, {})) {
                message();
            }
            if (now_ >= it.next_tick) {
                it.next_tick = now_ + tick_interval;
                update_members(i);
                it.client.tick(now_);
            }
            flush(i);
        }
        if (with_requests) {
            arrive();
        }
    }

    void arrive() {
        const double expected = plan_.demand * std::chrono::duration<double>(step).count();
        auto count = static_cast<int>(expected);
        count += random_.uniform() < expected - count ? 1 : 0;
        for (int i = 0; i < count; ++i) {
            const auto n = draw_node();
            auto& it = *nodes_[n];
            if (!it.is_up || now_ < it.frozen_until) {
                continue;
            }
            ++result_.requests;
            const auto id = ++last_request_;
            const auto decided = it.client.request(id, directory_.workspaces()[0], now_);
            if (decided.state == quota::credit_state::waiting) {
                arrivals_[id] = now_;
            } else {
                count_result(decided.state, nanoseconds(0));
            }
            flush(n);
        }
    }

    std::size_t draw_node() {
        double total = 0.0;
        for (const auto it : weights_) {
            total += it;
        }
        double rest = random_.uniform() * total;
        for (std::size_t i = 0; i < weights_.size(); ++i) {
            rest -= weights_[i];
            if (rest < 0.0) {
                return i;
            }
        }
        return 0;
    }

    void count_result(quota::credit_state state, nanoseconds waited) {
        if (state != quota::credit_state::granted) {
            ++result_.refused;
            return;
        }
        result_.longest_wait = std::max(result_.longest_wait, waited);
        admitted_.push_back(now_);
        const auto begin = now_ - std::chrono::duration_cast<instant::duration>(
                                      std::chrono::duration<double>(window_s));
        while (admitted_.front() <= begin) {
            admitted_.pop_front();
        }
        result_.most_in_window = std::max(result_.most_in_window, admitted_.size());
    }

    // Sends the messages of a node, and counts the requests that it has decided.
    void flush(std::size_t from) {
        auto& it = *nodes_[from];
        for (const auto& one : it.client.take_resolved()) {
            count_result(one.result.state, now_ - arrivals_[one.request]);
            arrivals_.erase(one.request);
        }
        for (auto& ask : it.client.take_asks(now_)) {
            const auto found = std::ranges::find(ids_, ask.to);
            const auto to = static_cast<std::size_t>(found - ids_.begin());
            send(from, to, [this, from, to, content = std::move(ask.content)] {
                auto grant = nodes_[to]->granter.on_ask(ids_[from], content, directory_, now_);
                if (grant.answers.empty()) {
                    return;
                }
                send(to, from, [this, from, to, grant = std::move(grant)] {
                    nodes_[from]->client.on_grant(ids_[to], grant, now_);
                    flush(from);
                });
            });
        }
    }

    void send(std::size_t from, std::size_t to, std::function<void()> run) {
        const bool is_lost = from != to && random_.uniform() < plan_.loss;
        if (is_lost || nodes_[from]->side != nodes_[to]->side) {
            return;
        }
        const auto delay = plan_.max_delay * random_.uniform();
        deliveries_.push({now_ + std::chrono::duration_cast<instant::duration>(delay), ++order_, to,
                          std::move(run)});
    }

    void update_members(std::size_t i) {
        auto& self = *nodes_[i];
        if (now_ >= self.next_meeting) {
            self.next_meeting = now_ + meeting_interval;
            meet_nodes(i);
        }
        std::vector<node_id> live;
        for (const auto j : self.heard) {
            const auto& it = *nodes_[j];
            const bool was_recently = now_ < changed_at_ + detection_time;
            const bool responds = it.is_up && it.side == self.side;
            if (j == i || responds || was_recently) {
                live.push_back(ids_[j]);
            }
        }
        auto known = self.heard;
        quota::fleet_contacts contacts;
        for (std::size_t j = 0; j < plan_.seeds; ++j) {
            known.insert(j);
            contacts.seeds += j != i ? 1 : 0;
            contacts.seeds_heard += j != i && self.heard.contains(j) ? 1 : 0;
        }
        contacts.known = known.size() - 1;
        contacts.heard = self.heard.size() - 1;
        contacts.live = live.size() - 1;
        self.census.update(contacts, now_);
        self.client.set_nodes(ids_[i], live, self.census.size(), now_);
        self.granter.set_fleet_size(self.census.size(), now_);
    }

    // The node exchanges what it has heard with a seed and with two others that it knows.
    void meet_nodes(std::size_t i) {
        auto& self = *nodes_[i];
        for (int n = 0; n < 3; ++n) {
            auto other = static_cast<std::size_t>(meeting_random_.next_below(plan_.seeds));
            if (n > 0) {
                const auto drawn = meeting_random_.next_below(self.heard.size());
                other = *std::next(self.heard.begin(), static_cast<std::ptrdiff_t>(drawn));
            }
            auto& it = *nodes_[other];
            if (it.is_up && it.side == self.side && now_ >= it.frozen_until) {
                self.heard.insert(it.heard.begin(), it.heard.end());
                it.heard = self.heard;
            }
        }
    }

    void disturb() {
        if (plan_.disturbances == disturbance_kind::kill_third && now_ >= at(15.0) &&
            !has_killed_) {
            has_killed_ = true;
            changed_at_ = now_;
            for (std::size_t i = 0; i < nodes_.size(); i += 3) {
                nodes_[i]->is_up = false;
                weights_[i] = 0.0;
            }
        }
        if (plan_.disturbances >= disturbance_kind::seeds_gone) {
            restart_all();
            return;
        }
        if (plan_.disturbances != disturbance_kind::all || now_ < next_disturbance_) {
            return;
        }
        next_disturbance_ = now_ + milliseconds(1'000 + random_.next_below(3'000));
        changed_at_ = now_;
        switch (random_.next_below(3)) {
        case 0: // a split into two sides, or its end
            split_ = !split_;
            for (auto& it : nodes_) {
                it->side = split_ ? random_.next_below(2) : 0;
            }
            break;
        case 1: { // a new process
            const auto i = random_.next_below(nodes_.size());
            const auto side = nodes_[i]->side;
            nodes_[i] = make_node(i);
            nodes_[i]->side = side;
            break;
        }
        default:
            nodes_[random_.next_below(nodes_.size())]->frozen_until =
                now_ + milliseconds(500 + random_.next_below(4'000));
            break;
        }
    }

    // Ends all nodes at 10 s and starts them again, the seeds and the second group apart.
    void restart_all() {
        const auto restarted = at(10.0);
        const auto reunited = at(18.0);
        if (now_ >= restarted && !has_killed_) {
            has_killed_ = true;
            changed_at_ = now_;
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                const bool starts = i >= seeds_down() || (i == 0 && has_one_seed());
                nodes_[i] = make_node(i);
                nodes_[i]->is_up = starts;
                nodes_[i]->side = plan_.disturbances == disturbance_kind::two_groups ? i % 2 : 0;
            }
        }
        const bool ends = plan_.disturbances == disturbance_kind::seeds_return ||
                          plan_.disturbances == disturbance_kind::two_groups;
        if (now_ >= reunited && ends && !is_reunited_) {
            is_reunited_ = true;
            changed_at_ = now_;
            for (auto& it : nodes_) {
                it->is_up = true;
                it->side = 0;
            }
        }
    }
    [[nodiscard]] bool has_one_seed() const {
        return plan_.disturbances == disturbance_kind::one_seed_up;
    }
    // The number of seeds that don't start with the others.
    [[nodiscard]] std::size_t seeds_down() const {
        return plan_.disturbances == disturbance_kind::two_groups ? 0 : plan_.seeds;
    }

    fleet_plan plan_;
    seeded_random_source random_;
    seeded_random_source meeting_random_; ///< of meet_nodes(), apart from the requests
    config::workspace_directory directory_;
    std::vector<node_id> ids_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<double> weights_;
    std::priority_queue<delivery> deliveries_;
    std::uint64_t order_{0};
    std::uint64_t last_request_{0};
    std::unordered_map<std::uint64_t, instant> arrivals_;
    std::deque<instant> admitted_;
    instant now_{};
    instant changed_at_{instant::min()};
    instant next_disturbance_{instant::min()};
    bool split_{false};
    bool has_killed_{false};
    bool is_reunited_{false};
    fleet_result result_;
};

} // namespace wigeonrill::test

#endif
