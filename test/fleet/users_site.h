#ifndef WIGEONRILL_TEST_USERS_SITE_H
#define WIGEONRILL_TEST_USERS_SITE_H

#include "test/fleet/fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace fleet_test {

/// \brief Stand-in of the users' platform on loopback: the store, targets, and one node before them
///        that gets the settings template of the deploy folder.
class users_site {
public:
    explicit users_site(int targets);
    users_site(const users_site&) = delete;
    users_site& operator=(const users_site&) = delete;
    ~users_site();

    /// \brief Starts the node and waits until it is ready.
    void start_node();
    /// \returns the port for callers
    [[nodiscard]] int port() const;

    /// \brief Writes a target's record.
    /// \param target position, from 0
    void register_target(int target, const std::string& state);
    /// \brief Writes bytes under a key as another writer would.
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// \brief Writes the operator's rules: a safe route /look/ and an unsafe one /order/.
    /// \param safe_prefix path of the safe route
    void publish(const std::string& safe_prefix);
    /// \brief Makes the store forget all changes that it has made so far.
    void forget_history();
    /// \brief Makes every call of the store fail with 503, or answer again.
    void set_store_down(bool down);

    /// \brief Sets the status that a target answers with; 503: it states that it did not run it.
    void set_status(int target, int status);
    /// \returns requests that a target got
    [[nodiscard]] int requests_at(int target) const;
    /// \returns the value of a header field of the last request that a target got
    [[nodiscard]] std::string last_header(int target, const std::string& name) const;
    /// \returns key of a target's record
    [[nodiscard]] static std::string key_of(int target);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace fleet_test

#endif
