#include "fake_fleet.h"

using namespace wigeonrill;
using namespace wigeonrill::peers;

TEST_GROUP(udp_transport){
    static std::unique_ptr<udp_transport> open(){auto out = udp_transport::open({"127.0.0.1", 0});
CHECK(out.has_value());
return std::move(*out);
}
}
;

// Guards against a transport that loses the source address, truncates the content, or blocks when
// nothing was received.
TEST(udp_transport, delivers_datagrams) {
    const auto a = open();
    const auto b = open();
    CHECK_FALSE(a->receive(milliseconds{0}).has_value());
    CHECK(a->send(b->local(), "hello"));
    const auto received = b->receive(seconds{5});
    CHECK(received.has_value());
    CHECK(received->from == a->local());
    STRCMP_EQUAL("hello", received->bytes.c_str());
}

// Guards against an oversized datagram that is truncated to a valid length and then decoded.
TEST(udp_transport, reports_an_oversized_datagram) {
    const auto a = open();
    const auto b = open();
    CHECK(a->send(b->local(), std::string(5'000, 'x')));
    const auto received = b->receive(seconds{5});
    CHECK(received.has_value());
    CHECK(received->bytes.size() > max_datagram_bytes);
}

// Guards against an exception or an apparent success when the port is in use.
TEST(udp_transport, error_names_the_address_that_cannot_be_bound) {
    const auto a = open();
    const auto again = udp_transport::open(a->local());
    CHECK_FALSE(again.has_value());
    CHECK(again.error().message.find(to_string(a->local())) != std::string::npos);
}

// Guards against parts that work only separately: two nodes exchange gossip over real sockets.
TEST(udp_transport, connects_two_nodes) {
    manual_clock_source clock;
    clock.set_wall(wall_time(seconds(1'700'000'000)));
    seeded_random_source random(1);
    const auto a = open();
    const auto b = open();
    gossip_node first({a->local(), domain_name("d1"), {1'000, 1}, {b->local()}}, clock, random);
    gossip_node second({b->local(), domain_name("d2"), {1'000, 2}, {a->local()}}, clock, random);
    peer_link first_link(first, *a, clock, "secret");
    peer_link second_link(second, *b, clock, "secret");
    first.announce(make_verdict(first.id(), "stock-1", 1, clock.now() + seconds(30)), {});
    clock.advance(milliseconds{500});
    first_link.tick();
    second_link.receive(seconds{5});
    first_link.receive(seconds{5});
    UNSIGNED_LONGS_EQUAL(1, second.take_inbox().verdicts.size());
    CHECK(first.status().at(0).domain == domain_name("d2"));
    CHECK(first.status().at(0).since_last_message.has_value());
    CHECK(first.counters().bytes_sent == second.counters().bytes_received);
}
