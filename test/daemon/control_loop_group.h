#ifndef WIGEONRILL_TEST_DAEMON_CONTROL_LOOP_GROUP_H
#define WIGEONRILL_TEST_DAEMON_CONTROL_LOOP_GROUP_H

#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

namespace wigeonrill::test {

/// Base of test groups: the control loop of one node without peers, with a manual clock and all
/// that the loop needs.
class control_loop_group : public Utest {
protected:
    manual_clock_source clock;
    seeded_random_source random{1};
    observe::memory_sink log;
    observe::metric_registry metrics;
    daemon::traffic_event_sink events{log};
    dispatch::request_dispatcher dispatcher{{{"10.1.0.1", 80}, 1, {}}, clock, random, events};
    daemon::control_loop loop{dependencies(), node_id("10.1.0.1:7"), domain_name("d1")};

    daemon::control_dependencies dependencies() {
        return {clock, log, metrics, events, dispatcher, nullptr};
    }
};

} // namespace wigeonrill::test

#endif
