#ifndef WIGEONRILL_HEALTH_EVIDENCE_REPORT_H
#define WIGEONRILL_HEALTH_EVIDENCE_REPORT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Evidence on one target that a node gathered since its last report on it.
struct evidence_report {
    node_id reporter;
    domain_name reporter_domain;
    service_name service;
    target_id target;
    double llr_sum{0.0};       ///< sum of log-likelihood ratios, in nats
    std::uint32_t answers{0};  ///< number of answers in the sum
    double others_ratio{0.0};  ///< latest slowdown of the service's other targets as the reporter
                               ///< sees them, 1: normal, 0: not known
    std::uint64_t sequence{0}; ///< grows with each report of this reporter; drops duplicates

    friend bool operator==(const evidence_report&, const evidence_report&) = default;
};

} // namespace wigeonrill::health

#endif
