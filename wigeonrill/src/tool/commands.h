#ifndef WIGEONRILL_TOOL_COMMANDS_H
#define WIGEONRILL_TOOL_COMMANDS_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Checks files and prints the verdict on each.
/// \returns negative when a file is invalid
[[nodiscard]] exit_code check_files(const std::vector<std::string>& files, bool json);

/// \brief Replays a recorded trace over the detector and the baselines, and prints a table.
/// \returns negative when the trace can't be read
[[nodiscard]] exit_code replay_trace(const std::string& path, bool json);

/// \brief Prints a page (status, targets or config) of one or more daemons.
/// \returns unreachable when a daemon did not answer; the others are printed all the same
[[nodiscard]] exit_code show_page(const std::string& page, const std::vector<endpoint>& nodes,
                                  bool json);

/// \brief Prints where a request could go now, and why not elsewhere.
/// \returns negative when no route matches
[[nodiscard]] exit_code explain_request(const std::vector<endpoint>& nodes,
                                        const std::string& method, const std::string& host,
                                        const std::string& path, bool json);

/// \brief Begins the graceful shutdown of daemons.
[[nodiscard]] exit_code drain_nodes(const std::vector<endpoint>& nodes, bool json);

} // namespace wigeonrill::tool

#endif
