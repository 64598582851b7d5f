#ifndef WIGEONRILL_CONFIG_TARGET_H
#define WIGEONRILL_CONFIG_TARGET_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief One back-end process of a service.
struct target {
    target_id id;
    endpoint address;
    domain_name domain;
    std::uint32_t slots{1};     ///< requests that the target can run at the same time
    milliseconds cold_start{0}; ///< time after a start during which slow answers are normal

    friend bool operator==(const target&, const target&) = default;
};

} // namespace wigeonrill::config

#endif
