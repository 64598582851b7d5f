#ifndef WIGEONRILL_HEALTH_EVIDENCE_REPORT_H
#define WIGEONRILL_HEALTH_EVIDENCE_REPORT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Evidence that a node collected on one target since its previous report on it.
struct evidence_report {
    node_id reporter;
    domain_name reporter_domain;
    service_name service;
    target_id target;
    double llr_sum{0.0};       ///< sum of the log-likelihood ratios (sick to healthy), in nats
    std::uint32_t answers{0};  ///< number of answers behind the sum
    double others_ratio{0.0};  ///< latest slowdown of the service's other targets as measured
                               ///< by the reporter; 1: normal, 0: not known
    std::uint64_t sequence{0}; ///< grows with each report of this reporter, so that duplicates
                               ///< and late reports are recognized

    friend bool operator==(const evidence_report&, const evidence_report&) = default;
};

} // namespace wigeonrill::health

#endif
