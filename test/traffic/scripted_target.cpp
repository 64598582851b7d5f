#include "scripted_target.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cstdlib>

namespace wigeonrill::test {

namespace {

/// Receives more bytes. Returns false when the connection has ended or failed.
bool receive_more(Poco::Net::StreamSocket& socket, std::string& buffered) {
    std::array<char, 16'384> piece{};
    try {
        const int n = socket.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        buffered.append(piece.data(), static_cast<std::size_t>(std::max(n, 0)));
        return n > 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::size_t find_body_end(const std::string& text, std::size_t head_end) {
    const auto head = text.substr(0, head_end);
    const auto length = head.find("\r\nContent-Length: ");
    if (length != std::string::npos) {
        return head_end + std::strtoull(head.c_str() + length + 18, nullptr, 10);
    }
    if (head.find("\r\nTransfer-Encoding: chunked") != std::string::npos) {
        const auto last = text.find("0\r\n\r\n", head_end);
        return last == std::string::npos ? std::string::npos : last + 5;
    }
    return head_end;
}

} // namespace

std::string read_message(Poco::Net::StreamSocket& socket, std::string& buffered, bool with_body) {
    for (;;) {
        const auto empty_line = buffered.find("\r\n\r\n");
        if (empty_line != std::string::npos) {
            const auto end = with_body ? find_body_end(buffered, empty_line + 4) : empty_line + 4;
            if (end <= buffered.size()) {
                auto message = buffered.substr(0, end);
                buffered.erase(0, end);
                return message;
            }
        }
        if (!receive_more(socket, buffered)) {
            return std::exchange(buffered, {});
        }
    }
}

scripted_target::scripted_target(script answers)
    : answers_(std::move(answers)), listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
      acceptor_([this] { accept_connections(); }) {}

scripted_target::~scripted_target() {
    stopping_ = true;
    acceptor_.join();
    {
        const std::lock_guard lock(mutex_);
        for (auto& it : sockets_) {
            try {
                it.shutdown();
            } catch (const Poco::Exception&) {
                continue; // The connection has already ended.
            }
        }
    }
    for (auto& it : threads_) {
        it.join();
    }
}

endpoint scripted_target::address() const {
    return {"127.0.0.1", listener_.address().port()};
}

std::vector<std::string> scripted_target::requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
}

int scripted_target::connections() const {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(sockets_.size());
}

int scripted_target::closed_connections() const {
    const std::lock_guard lock(mutex_);
    return closed_connections_;
}

void scripted_target::wait_closed(int count) {
    std::unique_lock lock(mutex_);
    closed_.wait(lock, [&] { return closed_connections_ >= count; });
}

void scripted_target::accept_connections() {
    const Poco::Timespan period(10'000);
    while (!stopping_) {
        if (listener_.poll(period, Poco::Net::Socket::SELECT_READ)) {
            auto socket = listener_.acceptConnection();
            const std::lock_guard lock(mutex_);
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket] { serve(socket); });
        }
    }
}

void scripted_target::repeat(Poco::Net::StreamSocket& socket, const scripted_answer& answer) {
    while (!stopping_) {
        std::this_thread::sleep_for(answer.interval);
        socket.sendBytes(answer.repeated.data(), static_cast<int>(answer.repeated.size()));
    }
}

void scripted_target::serve(Poco::Net::StreamSocket socket) {
    std::string buffered;
    for (;;) {
        const auto request = read_message(socket, buffered, true);
        if (request.empty()) {
            break;
        }
        int number = 0;
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
            number = static_cast<int>(requests_.size());
        }
        const auto answer = answers_(request, number);
        if (answer.silent) {
            continue;
        }
        try {
            socket.sendBytes(answer.bytes.data(), static_cast<int>(answer.bytes.size()));
            if (!answer.repeated.empty()) {
                repeat(socket, answer);
                break;
            }
            if (answer.close) {
                socket.shutdown();
                socket.close();
                break;
            }
        } catch (const Poco::Exception&) {
            break; // The proxy has closed the connection.
        }
    }
    const std::lock_guard lock(mutex_);
    ++closed_connections_;
    closed_.notify_all();
}

} // namespace wigeonrill::test
