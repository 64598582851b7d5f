#ifndef WIGEONRILL_TEST_FLEET_H
#define WIGEONRILL_TEST_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fleet_test {

/// \brief Answer to a request of a test.
struct answer {
    int status{0}; ///< 0: no whole answer arrived
    std::map<std::string, std::string> headers;
    std::string body;
};

/// \brief One request to a loopback port.
struct request {
    std::string method{"GET"};
    std::string path{"/"};
    std::map<std::string, std::string> headers;
    std::string body;
    int timeout_s{20};
};

/// \brief Sends a request on a connection of its own.
[[nodiscard]] answer send(int port, const request& wanted);

/// \returns a UUID version 7 of the present time (RFC 9562)
[[nodiscard]] std::string make_key();

/// \brief Child process that is ended with the object.
class process {
public:
    process(const std::string& program, const std::vector<std::string>& arguments);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// \brief Sends a signal.
    void signal(int number) const;
    /// \brief Waits for the end.
    /// \returns the exit code, or -1 when it was ended by a signal
    int wait();
    [[nodiscard]] bool ended() const { return ended_; }

private:
    int pid_;
    bool ended_{false};
};

/// \brief Stand-in targets and nodes on loopback with one service of each kind.
///
/// Service "lookups" answers GET and HEAD; service "orders" answers POST under at_most_once.
class fleet {
public:
    fleet(int nodes, int targets_per_service, int slots = 6);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// \brief Starts a node and waits until it is ready.
    /// \param with_file false: the node has no configuration file and no platform that answers
    void start_node(int node, bool with_file = true);
    [[nodiscard]] process& node(int index) { return *nodes_.at(index); }
    void kill_node(int index);

    [[nodiscard]] int traffic_port(int node) const { return traffic_.at(node); }
    [[nodiscard]] int admin_port(int node) const { return admin_.at(node); }
    /// \brief Changes the behaviour of a stand-in target.
    /// \param target such as "lookups-1"
    void control(const std::string& target, const std::string& json) const;
    /// \returns how often the key ran, over all targets of the service orders
    [[nodiscard]] int executions(const std::string& key) const;
    /// \returns executions at one target
    [[nodiscard]] int executions_at(const std::string& target) const;
    /// \returns whether a stand-in target still answers
    [[nodiscard]] bool is_up(const std::string& target) const;
    /// \returns the state of a target as one node sees it
    [[nodiscard]] std::string state_of(int node, const std::string& target) const;
    [[nodiscard]] std::vector<std::string> targets() const;

private:
    void write_inventory() const;
    [[nodiscard]] std::string write_settings(int node, bool with_file) const;

    int slots_;
    std::string folder_;
    std::map<std::string, int> target_ports_;
    std::vector<int> traffic_;
    std::vector<int> peer_;
    std::vector<int> admin_;
    int dead_port_{0}; ///< nothing listens there
    std::vector<std::unique_ptr<process>> standins_;
    std::vector<std::unique_ptr<process>> nodes_;
};

/// \returns path of a program of this build
[[nodiscard]] std::string binary(const std::string& name);

/// \returns loopback ports that are free now
[[nodiscard]] std::vector<int> free_ports(int count);

/// \brief Polls a condition.
/// \returns true once it holds, false after the limit
[[nodiscard]] bool eventually(const std::function<bool()>& condition, int limit_s);

} // namespace fleet_test

#endif
