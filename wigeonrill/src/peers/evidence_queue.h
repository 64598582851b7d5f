#ifndef WIGEONRILL_PEERS_EVIDENCE_QUEUE_H
#define WIGEONRILL_PEERS_EVIDENCE_QUEUE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Evidence reports that wait for the control budget.
///
/// Reports on the same target for the same aggregator are added up while they wait, so a node that
/// is over its budget sends later but loses no evidence.
class evidence_queue {
public:
    /// \brief Adds a report.
    /// \returns false when the queue was full and its oldest entry was discarded
    bool push(const node_id& aggregator, const health::evidence_report& report);
    /// \brief Removes the oldest report and others for its aggregator that fit one datagram.
    /// \returns the aggregator and its reports; nothing when the queue is empty
    [[nodiscard]] std::optional<std::pair<node_id, std::vector<health::evidence_report>>> pop();
    /// \returns number of waiting reports
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    struct entry {
        node_id aggregator;
        health::evidence_report report;
    };

    std::deque<entry> waiting_; ///< oldest first
};

} // namespace wigeonrill::peers

#endif
