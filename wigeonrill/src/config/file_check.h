#ifndef WIGEONRILL_CONFIG_FILE_CHECK_H
#define WIGEONRILL_CONFIG_FILE_CHECK_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Result of the check of one configuration file.
struct file_check {
    std::string path;
    std::optional<error> first_error; ///< first error in the file; its message begins with the path
    std::string summary; ///< description of the contents in one line; empty if the file is invalid
};

/// \brief Checks that a node would accept each file and that it can be split into shards.
/// \returns one result per path, in the same order
[[nodiscard]] std::vector<file_check> check_files(const std::vector<std::string>& paths);

} // namespace wigeonrill::config

#endif
