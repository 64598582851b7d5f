#ifndef WIGEONRILL_PEERS_EVIDENCE_QUEUE_H
#define WIGEONRILL_PEERS_EVIDENCE_QUEUE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Evidence reports that wait until the budget for control traffic allows sending them.
///
/// Waiting reports on the same target for the same aggregator are merged into one, so a node that
/// exceeds its budget sends its evidence later but doesn't lose it.
class evidence_queue {
public:
    /// \brief Adds a report, or merges it into a waiting one.
    /// \returns false if the queue was full and its oldest entry was discarded
    bool push(const node_id& aggregator, const health::evidence_report& report);
    /// \brief Removes the oldest report and, as far as they fit one datagram, further reports for
    ///        the same aggregator.
    /// \returns the aggregator and the reports for it; nothing if the queue is empty
    [[nodiscard]] std::optional<std::pair<node_id, std::vector<health::evidence_report>>> pop();
    /// \returns the number of waiting reports
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
