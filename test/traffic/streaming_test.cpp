#include "proxy_fixture.h"

#include <Poco/Net/SocketAddress.h>

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <fstream>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

constexpr std::size_t large_body_bytes = 100'000'000;
constexpr std::size_t buffer_size = 50'000;
/// More than the buffers of sockets and threads need, and far less than the size of the body.
constexpr long allowed_growth_kb = 16'000;

long peak_memory_kb() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

void send_large_body(Poco::Net::StreamSocket& socket) {
    const std::string piece(buffer_size, 'x');
    for (std::size_t sent = 0; sent < large_body_bytes;) {
        sent += static_cast<std::size_t>(socket.sendBytes(
            piece.data(), static_cast<int>(std::min(buffer_size, large_body_bytes - sent))));
    }
}

std::size_t receive_large_body(Poco::Net::StreamSocket& socket, std::size_t count) {
    std::vector<char> piece(buffer_size);
    std::size_t received = 0;
    while (received < count) {
        const int n = socket.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        if (n <= 0) {
            break;
        }
        received += static_cast<std::size_t>(n);
    }
    return received;
}

std::string large_content_length() {
    return "Content-Length: " + std::to_string(large_body_bytes) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(streaming) {
    proxy_fixture it{answer_ok};
    Poco::Net::ServerSocket target{Poco::Net::SocketAddress("127.0.0.1", 0)};

    void setup() override {
        it.decisions.default_step.address.port = target.address().port();
        it.decisions.default_step.route.max_body_bytes = large_body_bytes;
    }
};

// Guards against buffering a whole answer in memory while the caller reads slowly.
TEST(streaming, answer_to_a_slow_reader_needs_little_memory) {
    std::thread answering([&] {
        auto socket = target.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, true));
        const auto head = "HTTP/1.1 200 OK\r\n" + large_content_length();
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        send_large_body(socket);
    });
    auto caller = it.connect();
    const auto before = peak_memory_kb();
    caller.send(plain_get);
    std::string head;
    std::array<char, 1> byte{};
    while (head.find("\r\n\r\n") == std::string::npos) {
        LONGS_EQUAL(1, caller.socket().receiveBytes(byte.data(), 1));
        head += byte[0];
    }
    UNSIGNED_LONGS_EQUAL(large_body_bytes, receive_large_body(caller.socket(), large_body_bytes));
    answering.join();
    CHECK(peak_memory_kb() - before < allowed_growth_kb);
}

// Guards against buffering a whole upload in memory.
TEST(streaming, upload_needs_little_memory) {
    std::size_t received = 0;
    std::thread answering([&] {
        auto socket = target.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        received = buffered.size() + receive_large_body(socket, large_body_bytes - buffered.size());
        const auto answer = make_answer(200, "", "ok");
        socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
    });
    auto caller = it.connect();
    const auto before = peak_memory_kb();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\n" + large_content_length());
    send_large_body(caller.socket());
    STRCMP_CONTAINS("\r\n\r\nok", caller.receive_answer().c_str());
    answering.join();
    UNSIGNED_LONGS_EQUAL(large_body_bytes, received);
    CHECK(peak_memory_kb() - before < allowed_growth_kb);
}
