#include "proxy_fixture.h"

#include <Poco/Net/SocketAddress.h>

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <fstream>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

constexpr std::size_t bulk_bytes = 100'000'000;
constexpr std::size_t piece_size = 50'000;
/// Above the buffers of the sockets and threads, and far below the size of a body.
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

void send_bulk(Poco::Net::StreamSocket& socket) {
    const std::string piece(piece_size, 'x');
    for (std::size_t sent = 0; sent < bulk_bytes;) {
        sent += static_cast<std::size_t>(socket.sendBytes(
            piece.data(), static_cast<int>(std::min(piece_size, bulk_bytes - sent))));
    }
}

std::size_t receive_bulk(Poco::Net::StreamSocket& socket, std::size_t count) {
    std::vector<char> piece(piece_size);
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

std::string bulk_length() {
    return "Content-Length: " + std::to_string(bulk_bytes) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(streaming) {
    proxy_fixture it{answer_ok};
    Poco::Net::ServerSocket target{Poco::Net::SocketAddress("127.0.0.1", 0)};

    void setup() override {
        it.decisions.usual.address.port = target.address().port();
        it.decisions.usual.route.max_body_bytes = bulk_bytes;
    }
};

// Guards against an answer that is collected in memory while its caller reads slowly.
TEST(streaming, answer_to_a_slow_reader_needs_little_memory) {
    std::thread answering([&] {
        auto socket = target.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, true));
        const auto head = "HTTP/1.1 200 OK\r\n" + bulk_length();
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        send_bulk(socket);
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
    UNSIGNED_LONGS_EQUAL(bulk_bytes, receive_bulk(caller.socket(), bulk_bytes));
    answering.join();
    CHECK(peak_memory_kb() - before < allowed_growth_kb);
}

// Guards against an upload that is collected in memory.
TEST(streaming, upload_needs_little_memory) {
    std::size_t received = 0;
    std::thread answering([&] {
        auto socket = target.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        received = buffered.size() + receive_bulk(socket, bulk_bytes - buffered.size());
        const auto answer = answer_text(200, "", "ok");
        socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
    });
    auto caller = it.connect();
    const auto before = peak_memory_kb();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\n" + bulk_length());
    send_bulk(caller.socket());
    STRCMP_CONTAINS("\r\n\r\nok", caller.receive_answer().c_str());
    answering.join();
    UNSIGNED_LONGS_EQUAL(bulk_bytes, received);
    CHECK(peak_memory_kb() - before < allowed_growth_kb);
}
