#ifndef WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H
#define WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Allowance of requests per second for each workspace on this node. Not thread-safe.
///
/// A workspace may use up to one second's allowance at once. Only workspaces that the configuration
/// limits are kept, so callers can't make the table grow with invented names.
class workspace_allowance {
public:
    /// \param configuration snapshot with the limits
    /// \param name workspace of the request; empty or unknown: no limit
    /// \returns true when the request is within the allowance; it is then counted
    [[nodiscard]] bool take(const config::snapshot& configuration, const std::string& name,
                            instant now);
    /// \returns workspaces with a running count
    [[nodiscard]] std::size_t size() const { return buckets_.size(); }

private:
    struct bucket {
        double tokens{0.0};
        instant refilled{};
    };
    std::unordered_map<std::string, bucket> buckets_;
};

} // namespace wigeonrill::admission

#endif
