#ifndef WIGEONRILL_TEST_ADMISSION_OVERLOAD_SIMULATION_H
#define WIGEONRILL_TEST_ADMISSION_OVERLOAD_SIMULATION_H

#include "wigeonrill/admission.h"

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace wigeonrill::test {

/// How the nodes decide about requests that find no room.
class waiting_rule {
public:
    virtual ~waiting_rule() = default;
    virtual bool turns_away(std::uint32_t priority, double level, instant now) = 0;
    /// Returns whether the request waits, and the requests that lost their places.
    virtual std::pair<bool, std::vector<std::uint64_t>>
    offer(std::uint64_t id, const admission::urgency& how, instant now) = 0;
    virtual std::optional<std::uint64_t> serve(instant now) = 0;
    virtual std::vector<std::uint64_t> give_up(instant now) = 0;
    virtual void count(std::uint32_t priority, bool served, instant now) = 0;
    virtual milliseconds return_after(const admission::urgency& how, instant now, double draw) = 0;
};

/// The rule of the product.
class product_rule final : public waiting_rule {
public:
    explicit product_rule(std::size_t limit) { room_.set_limit(limit); }
    bool turns_away(std::uint32_t priority, double level, instant now) override {
        room_.on_request(priority, now);
        room_.set_level(level, now);
        return room_.turns_away(priority, now);
    }
    std::pair<bool, std::vector<std::uint64_t>>
    offer(std::uint64_t id, const admission::urgency& how, instant now) override {
        const auto result = room_.offer(id, how, now);
        std::vector<std::uint64_t> displaced;
        if (result.displaced) {
            displaced.push_back(*result.displaced);
        }
        return {result.decision == admission::waiting_room::entry::waits, displaced};
    }
    std::optional<std::uint64_t> serve(instant now) override {
        const auto order = room_.serving_order(now);
        if (order.empty()) {
            return std::nullopt;
        }
        room_.on_served(order.front(), now);
        return order.front();
    }
    std::vector<std::uint64_t> give_up(instant now) override { return room_.remove_hopeless(now); }
    void count(std::uint32_t priority, bool served, instant now) override {
        if (served) {
            room_.count_served(priority, now);
        } else {
            room_.count_refused(priority, now);
        }
    }
    milliseconds return_after(const admission::urgency& how, instant now, double draw) override {
        return room_.return_after(how, now, draw);
    }

private:
    admission::waiting_room room_;
};

/// The rule of earlier versions, as the baseline: in order of arrival, refused when the estimated
/// wait is over half of the remaining time, asked to return after whole seconds.
class arrival_rule final : public waiting_rule {
public:
    explicit arrival_rule(std::size_t limit) : limit_(limit) {}
    bool turns_away(std::uint32_t /*priority*/, double /*level*/, instant /*now*/) override {
        return false;
    }
    std::pair<bool, std::vector<std::uint64_t>>
    offer(std::uint64_t id, const admission::urgency& how, instant now) override {
        const bool waits = waiting_.size() < limit_ &&
                           estimator_.estimated_wait(waiting_.size()) <= (how.deadline - now) / 2;
        if (waits) {
            waiting_.emplace_back(id, how.deadline);
        }
        return {waits, {}};
    }
    std::optional<std::uint64_t> serve(instant now) override {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        const auto id = waiting_.front().first;
        waiting_.pop_front();
        estimator_.on_dequeue(now, !waiting_.empty());
        return id;
    }
    std::vector<std::uint64_t> give_up(instant now) override {
        std::vector<std::uint64_t> expired;
        std::erase_if(waiting_, [&](const auto& it) {
            if (it.second <= now) {
                expired.push_back(it.first);
            }
            return it.second <= now;
        });
        if (waiting_.empty()) {
            estimator_.on_queue_empty();
        }
        return expired;
    }
    void count(std::uint32_t /*priority*/, bool /*served*/, instant /*now*/) override {}
    milliseconds return_after(const admission::urgency& /*how*/, instant /*now*/,
                              double draw) override {
        const std::chrono::duration<double> wait(estimator_.estimated_wait(waiting_.size()));
        const double base = std::clamp(std::ceil(wait.count()), 1.0, 30.0);
        return seconds(static_cast<std::int64_t>(std::floor(base + draw * (base + 1.0))));
    }

private:
    std::size_t limit_;
    std::deque<std::pair<std::uint64_t, instant>> waiting_; ///< id and deadline
    admission::wait_estimator estimator_;
};

/// A load with a trigger from 8 to 13 s.
struct overload_plan {
    double arrivals_factor{1.0}; ///< of the arrivals, during the trigger
    int sends{1};                ///< of each request by its caller, during the trigger
    double slots_factor{1.0};    ///< of the slots, during the trigger
    std::array<std::uint32_t, 2> priorities{1, 2}; ///< of the two kinds
    double urgent_share{0.6};                      ///< of the requests of the first kind
};

struct kind_result {
    int asked{0};
    int served{0};           ///< before the deadline
    int prompt{0};           ///< within the target latency
    int refused{0};          ///< at last
    int waited{0};           ///< requests that were in a queue
    int held{0};             ///< refusals by a node that first let the request wait
    nanoseconds held_for{0}; ///< sum over these
    [[nodiscard]] double share() const { return asked == 0 ? 1.0 : 1.0 * served / asked; }
    [[nodiscard]] double prompt_share() const { return asked == 0 ? 1.0 : 1.0 * prompt / asked; }
};

/// Spans of arrival: before the trigger, during it, in the 2 s after it, and later.
enum span : std::size_t { before, during, recovery, after };
using overload_result = std::array<std::array<kind_result, 2>, 4>; ///< by span and kind

/// Discrete-event simulation of nodes whose requests of two kinds compete for the slots of one
/// service. Its targets hold as many requests more as they have slots, in order of arrival.
class overload_simulation {
public:
    using make_rule = std::function<std::unique_ptr<waiting_rule>()>;
    overload_simulation(const overload_plan& plan, const make_rule& make, std::uint64_t seed)
        : plan_(plan), random_(seed) {
        for (std::size_t i = 0; i < nodes; ++i) {
            rules_.push_back(make());
        }
    }

    overload_result run() {
        schedule(now_, [this] { arrive(); });
        for (auto at = now_; at < end + seconds(6); at += milliseconds(50)) {
            schedule(at, [this] { tick(); });
        }
        while (!events_.empty()) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.action();
        }
        return result_;
    }

private:
    static constexpr std::size_t nodes = 12;
    static constexpr std::size_t queue_limit = 64;
    static constexpr std::size_t slots = 24;
    static constexpr double mean_work_s = 0.2;
    static constexpr double rate = 84.0; ///< 0.7 of what the slots can do
    static constexpr milliseconds target_latency{800};
    static constexpr milliseconds deadline{5'000};
    static constexpr instant start{seconds(1'000)};
    static constexpr instant trigger{start + seconds(8)};
    static constexpr instant trigger_end{trigger + seconds(5)};
    static constexpr instant end{trigger_end + seconds(10)};

    using task = std::function<void()>;
    struct event {
        instant when;
        std::uint64_t number;
        task action;
        friend bool operator>(const event& a, const event& b) {
            return std::pair(a.when, a.number) > std::pair(b.when, b.number);
        }
    };
    struct call {
        std::size_t kind{0};
        span when{before};
        instant first_sent{};
        bool ended{false};
        int open{0}; ///< copies that are not refused yet
    };
    struct copy {
        std::shared_ptr<call> of;
        std::size_t node{0};
        admission::urgency how;
    };

    void schedule(instant when, task action) {
        events_.push({when, ++last_event_, std::move(action)});
    }
    [[nodiscard]] bool is_triggered() const { return now_ >= trigger && now_ < trigger_end; }
    [[nodiscard]] std::size_t slots_now() const {
        return is_triggered() ? static_cast<std::size_t>(slots * plan_.slots_factor) : slots;
    }
    [[nodiscard]] span span_now() const {
        if (now_ < trigger) {
            return before;
        }
        return is_triggered() ? during : now_ < trigger_end + seconds(2) ? recovery : after;
    }
    kind_result& counts(const call& it) { return result_.at(it.when).at(it.kind); }

    void arrive() {
        const double factor = is_triggered() ? plan_.arrivals_factor : 1.0;
        const std::chrono::duration<double> gap(-std::log1p(-random_.uniform()) / (rate * factor));
        const auto next = now_ + std::chrono::duration_cast<nanoseconds>(gap);
        if (next < end) {
            schedule(next, [this] { arrive(); });
        }
        auto one = std::make_shared<call>();
        one->kind = random_.uniform() < plan_.urgent_share ? 0 : 1;
        one->when = span_now();
        one->first_sent = now_;
        ++counts(*one).asked;
        const int sends = is_triggered() ? plan_.sends : 1;
        one->open = sends;
        for (int i = 0; i < sends; ++i) {
            schedule(now_ + milliseconds(50) * i, [this, one] { send(one); });
        }
    }

    void send(const std::shared_ptr<call>& one) {
        if (one->ended) {
            return;
        }
        const auto id = ++last_id_;
        auto& it = copies_[id];
        it.of = one;
        it.node = random_.next_below(nodes);
        it.how = {
            plan_.priorities.at(one->kind),
            now_,
            one->first_sent + target_latency,
            one->first_sent + deadline,
            {std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(mean_work_s)),
             milliseconds(50)}};
        auto& rule = *rules_[it.node];
        if (rule.turns_away(it.how.priority, told_level_, now_)) {
            refuse(id);
            return;
        }
        serve(it.node);
        if (has_room()) {
            rule.count(it.how.priority, true, now_);
            pass_on(id);
            return;
        }
        const auto [waits, displaced] = rule.offer(id, it.how, now_);
        counts(*one).waited += waits ? 1 : 0;
        for (const auto other : displaced) {
            refuse(other);
        }
        if (!waits) {
            refuse(id);
        }
    }

    [[nodiscard]] bool has_room() const { return running_ + waiting_.size() < 2 * slots_now(); }
    void serve(std::size_t node) {
        while (has_room()) {
            const auto id = rules_[node]->serve(now_);
            if (!id) {
                return;
            }
            rules_[node]->count(copies_.at(*id).how.priority, true, now_);
            pass_on(*id);
        }
    }
    void pass_on(std::uint64_t id) {
        waiting_.push_back(id);
        run_next();
    }
    void run_next() {
        if (running_ >= slots_now() || waiting_.empty()) {
            return;
        }
        const auto id = waiting_.front();
        waiting_.pop_front();
        ++running_;
        const std::chrono::duration<double> work((0.5 + random_.uniform()) * mean_work_s);
        schedule(now_ + std::chrono::duration_cast<nanoseconds>(work), [this, id] { answer(id); });
    }
    void answer(std::uint64_t id) {
        --running_;
        run_next();
        auto& one = *copies_.at(id).of;
        if (!one.ended && now_ <= one.first_sent + deadline) {
            one.ended = true;
            ++counts(one).served;
            counts(one).prompt += now_ <= one.first_sent + target_latency ? 1 : 0;
        }
        copies_.erase(id);
        serve(random_.next_below(nodes));
    }
    void refuse(std::uint64_t id) {
        const auto it = copies_.at(id);
        auto& rule = *rules_[it.node];
        rule.count(it.how.priority, false, now_);
        counts(*it.of).held += now_ > it.how.arrived ? 1 : 0;
        counts(*it.of).held_for += now_ - it.how.arrived;
        copies_.erase(id);
        const auto again = rule.return_after(it.how, now_, random_.uniform());
        if (it.of->ended) {
            return;
        }
        // Callers return within a third of the time that they have left.
        if (now_ + 3 * again < it.how.deadline) {
            schedule(now_ + again, [this, one = it.of] { send(one); });
        } else if (--it.of->open == 0) {
            it.of->ended = true;
            ++counts(*it.of).refused;
        }
    }
    void tick() {
        told_level_ =
            static_cast<double>(running_ + waiting_.size()) / static_cast<double>(slots_now());
        const auto first = random_.next_below(nodes);
        for (std::size_t i = 0; i < nodes; ++i) {
            const auto node = (first + i) % nodes;
            for (const auto id : rules_[node]->give_up(now_)) {
                refuse(id);
            }
            serve(node);
        }
        while (running_ < slots_now() && !waiting_.empty()) {
            run_next();
        }
    }

    overload_plan plan_;
    seeded_random_source random_;
    std::vector<std::unique_ptr<waiting_rule>> rules_;
    std::map<std::uint64_t, copy> copies_;
    std::deque<std::uint64_t> waiting_; ///< in the targets
    std::size_t running_{0};
    double told_level_{0.0};
    instant now_{start};
    std::uint64_t last_event_{0};
    std::uint64_t last_id_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    overload_result result_;
};

} // namespace wigeonrill::test

#endif
