#ifndef WIGEONRILL_TEST_FLEET_H
#define WIGEONRILL_TEST_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fleet_test {

/// \brief HTTP answer that a test received.
struct answer {
    int status{0}; ///< HTTP status; 0 when no complete answer arrived
    std::map<std::string, std::string> headers;
    std::string body;
};

/// \brief HTTP request that a test sends to a loopback port.
struct request {
    std::string method{"GET"};
    std::string path{"/"};
    std::map<std::string, std::string> headers;
    std::string body;
    int timeout_s{20};
};

/// \brief Sends a request on a new connection and waits for the answer.
/// \returns the answer, with status 0 when it failed, timed out or was incomplete
[[nodiscard]] answer send(int port, const request& to_send);

/// \returns a new UUID version 7 with the current time (RFC 9562), for use as an idempotency key
[[nodiscard]] std::string make_key();

/// \brief Child process; the destructor kills it if it still runs.
class process {
public:
    process(const std::string& program, const std::vector<std::string>& arguments);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// \brief Sends a signal to the process; does nothing once wait() has returned.
    void signal(int number) const;
    /// \brief Waits until the process exits.
    /// \returns the exit code, -1 when a signal terminated it, or 0 when wait() was called before
    int wait();
    [[nodiscard]] bool has_exited() const { return has_exited_; }

private:
    int pid_;
    bool has_exited_{false};
};

/// \brief Port with a full queue of connections, so that further ones hang.
class full_listener {
public:
    full_listener(const std::string& ip, int port);
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
    ~full_listener();

private:
    std::vector<int> sockets_;
};

/// \brief Stand-in targets and nodes on loopback that serve one idempotent and one at-most-once
///        service.
///
/// Service "lookups" takes GET and HEAD; service "orders" takes POST and executes a request at most
/// once per idempotency key.
class fleet {
public:
    fleet(int nodes, int targets_per_service, int slots = 6);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// \brief Starts a node and waits until it is ready.
    /// \param with_config_file false: the node has no configuration file, and its platform address
    ///        refuses connections
    void start_node(int node, bool with_config_file = true);
    /// \brief Starts a node whose connections to all targets are refused until connect_node().
    void start_cut_off_node(int node);
    /// \brief Starts a node whose connections to all targets hang until connect_node().
    void start_node_with_hanging_connections(int node);
    /// \brief Lets a node that was started cut off reach the targets.
    void connect_node(int node);
    [[nodiscard]] process& node(int index) { return *nodes_.at(index); }
    /// \brief Kills a node with SIGKILL and waits until it has exited.
    void kill_node(int index);

    [[nodiscard]] int traffic_port(int node) const { return traffic_ports_.at(node); }
    [[nodiscard]] int admin_port(int node) const { return admin_ports_.at(node); }
    /// \brief Changes the behaviour of a stand-in target.
    /// \param target such as "lookups-1"
    void set_target_behaviour(const std::string& target, const std::string& json) const;
    /// \returns how often targets executed the request with this idempotency key, summed over all
    ///          targets
    [[nodiscard]] int executions_of_key(const std::string& key) const;
    /// \returns the number of requests that one target has executed
    [[nodiscard]] int executions_at(const std::string& target) const;
    /// \returns whether the process of a stand-in target still answers
    [[nodiscard]] bool is_up(const std::string& target) const;
    /// \returns the health state of a target in the view of one node, or an empty text when the
    ///          node doesn't list the target
    [[nodiscard]] std::string observed_state(int node, const std::string& target) const;
    /// \returns the names of all targets of both services
    [[nodiscard]] std::vector<std::string> targets() const;

private:
    /// \brief Writes the configuration file of a node.
    /// \param target_ip address of the targets; they listen at 127.0.0.1 only
    void write_inventory(int node, int version, const std::string& target_ip) const;
    [[nodiscard]] std::string inventory_path(int node) const;
    [[nodiscard]] std::string write_settings(int node, bool with_config_file) const;
    void start_process(int node, bool with_config_file);

    int slots_;
    std::string folder_;
    std::map<std::string, int> target_ports_;
    std::vector<int> traffic_ports_;
    std::vector<int> peer_ports_;
    std::vector<int> admin_ports_;
    int unused_port_{0}; ///< port without a listener, so that connections are refused
    std::vector<std::unique_ptr<process>> standin_targets_;
    std::vector<std::unique_ptr<process>> nodes_;
    std::vector<std::unique_ptr<full_listener>> full_listeners_;
};

/// \returns the path of a program of this build, in $WIGEONRILL_BIN or build/bin
[[nodiscard]] std::string binary(const std::string& name);

/// \returns loopback ports that were free at the time of the call
[[nodiscard]] std::vector<int> free_ports(int count);

/// \brief Polls a condition every 50 ms.
/// \returns true as soon as it holds, false when the time limit has passed
[[nodiscard]] bool eventually(const std::function<bool()>& condition, int limit_s);

} // namespace fleet_test

#endif
