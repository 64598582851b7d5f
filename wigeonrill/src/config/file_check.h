#ifndef WIGEONRILL_CONFIG_FILE_CHECK_H
#define WIGEONRILL_CONFIG_FILE_CHECK_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Result of the check of one configuration file.
struct file_check {
    std::string path;
    std::optional<error> fault; ///< first fault; its message begins with the path
    std::string summary;        ///< contents of a valid file in one line
};

/// \brief Checks files as a node would before it applies them, and that they can be published.
/// \returns one result per path, in the same order
[[nodiscard]] std::vector<file_check> check_files(const std::vector<std::string>& paths);

} // namespace wigeonrill::config

#endif
