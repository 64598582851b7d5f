#ifndef WIGEONRILL_QUOTA_FLEET_CENSUS_H
#define WIGEONRILL_QUOTA_FLEET_CENSUS_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// Nodes that a fleet has at most, unless the settings say otherwise.
inline constexpr std::size_t default_max_nodes = 100;

/// \brief Number of nodes among which limits are divided, as far as one node can tell.
struct fleet_size {
    /// Nodes that it knows, with itself and those that don't respond, which may grant credit
    /// elsewhere.
    std::size_t known{1};
    std::size_t max_nodes{default_max_nodes}; ///< nodes that the fleet has at most
    bool is_complete{true}; ///< false: there may be nodes that this one has never heard of

    /// \returns the number of equal parts of a limit of which each node has one
    [[nodiscard]] std::size_t parts() const { return is_complete ? known : assumed(); }
    /// \returns the same for a node that may know few nodes of its fleet
    [[nodiscard]] std::size_t assumed() const { return std::max(known, max_nodes); }
};

/// \brief What a node has learned of the other nodes since its process started.
struct fleet_contacts {
    std::size_t known{0}; ///< other nodes that it knows, heard of or not
    std::size_t heard{0}; ///< those that it or a peer of it has heard
    std::size_t live{0};  ///< those that respond
    std::size_t seeds{0}; ///< other nodes that the settings name as seeds; 0: all nodes are listed
    std::size_t seeds_heard{0}; ///< those seeds that it or a peer of it has heard
};

/// \brief Tells whether a node knows its whole fleet. Not thread-safe.
///
/// Nodes find each other by way of the seeds. Two groups of nodes that don't know each other
/// can't both have heard all of these, so a node that has heard them all knows its fleet, as soon
/// as it learns of no further nodes. One that has heard none, or not all, may be one of many
/// groups. One that no node answers any more forgets none of them.
class fleet_census {
public:
    /// \param max_nodes nodes that the fleet has at most
    explicit fleet_census(std::size_t max_nodes) : max_nodes_(max_nodes) {}

    /// \brief Takes what is known now. To be called at least once a second.
    void update(const fleet_contacts& contacts, instant now);
    /// \returns the size of the fleet as of the last update()
    [[nodiscard]] fleet_size size() const;

private:
    /// \returns whether the node knows its fleet, after the quiet time
    [[nodiscard]] bool has_met_fleet(instant now) const;

    std::size_t max_nodes_;
    fleet_contacts contacts_;
    std::optional<instant> started_; ///< first update
    instant grown_at_{};             ///< last update that told of a further node
    std::optional<instant> met_at_;  ///< since when has_met_fleet() is true
    bool is_complete_{false};
};

} // namespace wigeonrill::quota

#endif
