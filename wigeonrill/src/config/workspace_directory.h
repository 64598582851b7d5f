#ifndef WIGEONRILL_CONFIG_WORKSPACE_DIRECTORY_H
#define WIGEONRILL_CONFIG_WORKSPACE_DIRECTORY_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Finds workspaces by API key and by name. Immutable.
///
/// Digests are evenly distributed, so a hash table with open addressing needs no further hash. It
/// takes about 40 bytes for each key.
class workspace_directory {
public:
    /// \param workspaces list of a valid snapshot; the directory shares its elements
    explicit workspace_directory(shared_list<workspace> workspaces);

    /// \returns the workspace that holds an API key, or null
    [[nodiscard]] const workspace* find(const key_digest& key) const;
    /// \returns the workspace with a name, or null
    [[nodiscard]] const workspace* find(std::string_view name) const;
    [[nodiscard]] const shared_list<workspace>& workspaces() const { return workspaces_; }
    /// \returns whether the directory was built from this list
    [[nodiscard]] bool is_of(const shared_list<workspace>& workspaces) const {
        return workspaces_.shares_elements_with(workspaces);
    }

private:
    struct slot {
        key_digest key;
        std::uint32_t position{0}; ///< in workspaces_, counted from 1; 0: the slot is empty
    };

    void insert(const key_digest& key, std::uint32_t position);
    [[nodiscard]] std::size_t first_slot_of(const key_digest& key) const;

    shared_list<workspace> workspaces_; ///< sorted by name
    std::vector<slot> slots_;           ///< their number is a power of 2
};

} // namespace wigeonrill::config

#endif
