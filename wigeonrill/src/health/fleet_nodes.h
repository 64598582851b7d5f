#ifndef WIGEONRILL_HEALTH_FLEET_NODES_H
#define WIGEONRILL_HEALTH_FLEET_NODES_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief A live node of the fleet.
struct fleet_node {
    node_id id;
    domain_name domain;

    friend bool operator==(const fleet_node&, const fleet_node&) = default;
};

/// \brief The live nodes of the fleet; chooses the aggregators of each target among them.
///
/// An aggregator collects the evidence of all nodes on a target and issues the verdicts on it.
class fleet_nodes {
public:
    fleet_nodes() = default;
    explicit fleet_nodes(std::vector<fleet_node> live);

    /// \returns number of live nodes
    [[nodiscard]] std::size_t size() const { return live_.size(); }
    /// \returns number of failure domains with live nodes
    [[nodiscard]] std::size_t domains() const { return domains_; }
    /// \returns whether the node is live
    [[nodiscard]] bool contains(const node_id& node) const;
    /// \brief Chooses the two nodes with the highest rendezvous scores in different failure
    /// domains, or in the same domain when there is only one.
    /// \returns at most two nodes, highest score first
    [[nodiscard]] std::vector<node_id> aggregators(const target_id& target) const;

private:
    std::vector<fleet_node> live_;      ///< sorted by id
    std::vector<std::uint64_t> hashes_; ///< hashes of the ids, in the order of live_
    std::size_t domains_{0};
};

} // namespace wigeonrill::health

#endif
