#ifndef WIGEONRILL_TEST_PEERS_SLOW_LINKS_H
#define WIGEONRILL_TEST_PEERS_SLOW_LINKS_H

#include "fake_fleet.h"

namespace wigeonrill::peers {

/// \brief Transfers of whole configurations between the nodes of a fake fleet, over links with a
///        limited number of bytes per second in each direction.
///
/// The calls that a node serves at a time share its link equally. A node starts and ends calls in
/// its control loop, every 50 ms.
class slow_links {
public:
    static constexpr double link_bytes_per_second = 10e6 / 8; // 10 Mbit/s
    static constexpr double configuration_bytes = 300'000;
    static constexpr milliseconds call_limit{10'000};
    static constexpr milliseconds latency{20}; ///< of a call until it reaches the other node
    static constexpr std::size_t serving_threads{3};

    /// \param fleet must outlive this object and run no steps after it
    explicit slow_links(fake_fleet& fleet) : fleet_(fleet) {
        fleet_.run_transfers = [this] { step(); };
    }

    std::set<std::size_t> hanging; ///< nodes that accept calls and never answer

    /// \returns the largest number of calls that arrived at one node
    [[nodiscard]] std::uint64_t max_calls_at_a_node() const {
        std::uint64_t most = 0;
        for (const auto& [node, count] : calls_at_) {
            most = std::max(most, count);
        }
        return most;
    }

private:
    struct call {
        std::size_t to{0}; ///< node that asks
        std::size_t from{0};
        instant started{};
        bool arrived{false};
        bool sending{false};
        double bytes_left{configuration_bytes};
        std::uint64_t version{0};
    };

    void step() {
        for (std::size_t i = 0; i < fleet_.nodes.size(); ++i) {
            if (fleet_.nodes[i]->running && fleet_.step % 5 == static_cast<int>(i % 5)) {
                run_control_loop(i);
            }
        }
        for (auto& it : calls_) {
            if (!it.arrived && fleet_.clock.now() >= it.started + latency) {
                it.arrived = true;
                ++calls_at_[it.from];
            }
            if (it.arrived && !it.sending && !hanging.contains(it.from) &&
                count_sending(&call::from, it.from) < serving_threads) {
                it.sending = true;
                it.version = fleet_.nodes[it.from]->version;
            }
        }
        send_bytes();
    }

    void run_control_loop(std::size_t node) {
        auto& asking = *fleet_.nodes[node];
        for (const auto& it : calls_) {
            const bool ended = it.bytes_left <= 0;
            if (it.to != node || (!ended && fleet_.clock.now() < it.started + call_limit)) {
                continue;
            }
            asking.node.fetch_finished(fake_fleet::id(it.from), ended);
            if (ended && it.version > asking.version) {
                fake_fleet::set_version(asking, it.version);
            }
        }
        std::erase_if(calls_, [&](const call& it) {
            return it.to == node &&
                   (it.bytes_left <= 0 || fleet_.clock.now() >= it.started + call_limit);
        });
        if (const auto request = asking.node.take_fetch_request()) {
            call started;
            started.to = node;
            started.from = index_of(request->from);
            started.started = fleet_.clock.now();
            calls_.push_back(started);
        }
    }

    void send_bytes() {
        constexpr double step_bytes = link_bytes_per_second / 100;
        for (auto& it : calls_) {
            if (it.sending && it.bytes_left > 0) {
                const auto sharing =
                    std::max(count_sending(&call::from, it.from), count_sending(&call::to, it.to));
                it.bytes_left -= step_bytes / static_cast<double>(sharing);
            }
        }
    }

    [[nodiscard]] std::size_t count_sending(std::size_t call::*end, std::size_t node) const {
        return static_cast<std::size_t>(std::ranges::count_if(calls_, [&](const call& it) {
            return it.*end == node && it.sending && it.bytes_left > 0;
        }));
    }
    [[nodiscard]] std::size_t index_of(const node_id& id) const {
        for (std::size_t i = 0; i < fleet_.nodes.size(); ++i) {
            if (fake_fleet::id(i) == id) {
                return i;
            }
        }
        FAIL("the node is not in the fleet");
        return 0;
    }

    fake_fleet& fleet_;
    std::vector<call> calls_;
    std::map<std::size_t, std::uint64_t> calls_at_; ///< by node that was asked
};

} // namespace wigeonrill::peers

#endif
