#ifndef WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H
#define WIGEONRILL_ADMISSION_WORKSPACE_ALLOWANCE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Token-bucket rate limit for each workspace on a node without peers. Not thread-safe.
///
/// Buckets are created only for workspaces with a limit in the configuration, so callers can't make
/// the table grow by sending invented names.
class workspace_allowance {
public:
    /// \brief Takes one request from the allowance of a workspace.
    /// \returns false when the workspace has used up its allowance
    [[nodiscard]] bool take(const config::workspace& limited, instant now);
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
