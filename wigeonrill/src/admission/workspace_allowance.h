#ifndef WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H
#define WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Token-bucket rate limit for each workspace on this node. Not thread-safe.
///
/// A bucket holds at most the requests of one second. Buckets are created only for workspaces with
/// a limit in the configuration, so callers can't make the table grow by sending invented names.
class workspace_allowance {
public:
    /// \brief Takes one request from the allowance of a workspace.
    /// \param configuration snapshot with the limits
    /// \param name workspace of the request; an empty or unknown name has no limit
    /// \returns false when the workspace has used up its allowance
    [[nodiscard]] bool take(const config::snapshot& configuration, const std::string& name,
                            instant now);
    /// \returns the number of workspaces with a bucket
    [[nodiscard]] std::size_t size() const { return buckets_.size(); }

private:
    struct bucket {
        double tokens{0.0};    ///< requests available at last_refill
        instant last_refill{}; ///< when tokens were last added
    };
    std::unordered_map<std::string, bucket> buckets_; ///< by workspace name
};

} // namespace wigeonrill::admission

#endif
