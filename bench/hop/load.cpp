#include "load.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <barrier>
#include <cmath>
#include <mutex>
#include <thread>

namespace wigeonrill::bench {

namespace {

using std::chrono::steady_clock;
using float_milliseconds = std::chrono::duration<double, std::milli>;

const std::string request = "GET /stock/rolls?size=a1 HTTP/1.1\r\nHost: shop.example\r\n"
                            "User-Agent: hop\r\nAccept: */*\r\nWorkspace: ws-1\r\n\r\n";

void receive_answer(Poco::Net::StreamSocket& socket) {
    constexpr std::size_t body_bytes = 200;
    std::array<char, 4096> buf{};
    std::string answer;
    for (;;) {
        const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        WIGEONRILL_ASSERT(n > 0, "the answer must be complete");
        answer.append(buf.data(), static_cast<std::size_t>(n));
        const auto head = answer.find("\r\n\r\n");
        if (head != std::string::npos && answer.size() >= head + 4 + body_bytes) {
            WIGEONRILL_ASSERT(answer.starts_with("HTTP/1.1 200"),
                              "the answer must have status 200");
            return;
        }
    }
}

void send_all(Poco::Net::StreamSocket& socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const int n = socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent));
        sent += static_cast<std::size_t>(n);
    }
}

// Sends the request and receives the whole answer.
void send_request(Poco::Net::StreamSocket& socket) {
    send_all(socket, request);
    receive_answer(socket);
}

Poco::Net::StreamSocket open(const endpoint& address) {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(address.ip, address.port));
    socket.setNoDelay(true);
    return socket;
}

} // namespace

struct load_generator::connection {
    explicit connection(const endpoint& address) : socket(open(address)) { send_request(socket); }

    void run(steady_clock::time_point first_send_time, steady_clock::duration period, int count) {
        for (int i = 0; i < count; ++i) {
            std::this_thread::sleep_until(first_send_time + i * period);
            const auto start = steady_clock::now();
            send_request(socket);
            times.push_back(float_milliseconds(steady_clock::now() - start).count());
        }
    }

    Poco::Net::StreamSocket socket;
    samples times;
};

load_generator::load_generator(const endpoint& address, int connections) {
    for (int i = 0; i < connections; ++i) {
        connections_.push_back(std::make_unique<connection>(address));
    }
}

load_generator::~load_generator() = default;

samples load_generator::run(double per_second, seconds duration) {
    const auto count = static_cast<double>(connections_.size());
    const auto period = std::chrono::duration_cast<steady_clock::duration>(
        float_milliseconds(1000.0 * count / per_second));
    const int requests = static_cast<int>(std::llround(duration / period));
    const auto start = steady_clock::now() + milliseconds{50};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        auto& it = *connections_[i];
        const auto first_send_time = start + period * static_cast<int>(i) / static_cast<int>(count);
        threads.emplace_back([&it, first_send_time, period, requests] {
            it.run(first_send_time, period, requests);
        });
    }
    samples all;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        auto& times = connections_[i]->times;
        all.insert(all.end(), times.begin(), times.end());
        times.clear();
    }
    return all;
}

samples measure_burst(const endpoint& address, int connections) {
    std::barrier start_barrier(connections);
    std::mutex mutex;
    samples all;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections));
    for (int i = 0; i < connections; ++i) {
        threads.emplace_back([&] {
            start_barrier.arrive_and_wait();
            const auto start = steady_clock::now();
            auto socket = open(address);
            send_request(socket);
            const std::lock_guard lock(mutex);
            all.push_back(float_milliseconds(steady_clock::now() - start).count());
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    return all;
}

double measure_uploads(const endpoint& address, int connections, int uploads,
                       std::size_t body_bytes) {
    const auto upload = "POST /plans HTTP/1.1\r\nHost: shop.example\r\nContent-Length: " +
                        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections));
    const auto start = steady_clock::now();
    for (int i = 0; i < connections; ++i) {
        threads.emplace_back([&] {
            auto socket = open(address);
            for (int k = 0; k < uploads; ++k) {
                send_all(socket, upload);
                receive_answer(socket);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    const std::chrono::duration<double> time = steady_clock::now() - start;
    constexpr double bytes_per_megabyte = 1e6;
    const auto bytes = static_cast<double>(body_bytes) * connections * uploads;
    return bytes / bytes_per_megabyte / time.count();
}

double percentile(samples values, double share) {
    WIGEONRILL_ASSERT(!values.empty(), "a percentile needs at least one sample");
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

} // namespace wigeonrill::bench
