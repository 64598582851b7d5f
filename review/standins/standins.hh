// Stand-ins for the reviewed cases: the platform's store, endpoints, clients, and the start of
// nodes. Everything listens on loopback addresses. No library beyond the C++ standard library is
// used.
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// ---- record ----

/// Writes record.txt: one line for each event, with seconds since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path) {}
    void write(const std::string& line) {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%9.4f ", seconds());
        out_ << at << line << '\n';
    }
    /// Writes a line to the record and to standard output.
    void say(const std::string& line) {
        write(line);
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
    }
    double seconds() const {
        return std::chrono::duration<double>(clock_type::now() - start_).count();
    }

private:
    clock_type::time_point start_{clock_type::now()};
    std::mutex mutex_;
    std::ofstream out_;
};

// ---- sockets ----

inline int listen_on_loopback(int port, int& bound) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    bound = ntohs(address.sin_port);
    return fd;
}

/// Returns ports that are free for TCP and UDP at the moment.
inline std::vector<int> free_ports(int n) {
    std::vector<int> ports;
    std::vector<int> fds;
    while (static_cast<int>(ports.size()) < n) {
        int port = 0;
        const int fd = listen_on_loopback(0, port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
            ports.push_back(port);
        }
        fds.push_back(fd);
        fds.push_back(udp);
    }
    for (const int fd : fds) {
        ::close(fd);
    }
    return ports;
}

inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_text(int fd, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// ---- messages ----

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool complete{false};

    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto from = first_line.find(' ') + 1;
        return first_line.substr(from, first_line.find(' ', from) - from);
    }
};

/// Reads messages with a length from a connection.
class message_reader {
public:
    explicit message_reader(int fd) : fd_(fd) {}
    /// Returns a message; not complete when the connection ended or the time is over. A message
    /// without a first line means that nothing came.
    message read(clock_type::time_point until = clock_type::time_point::max()) {
        message in;
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until)) {
                return in;
            }
        }
        std::istringstream lines(buf_.substr(0, end));
        std::getline(lines, in.first_line);
        if (!in.first_line.empty() && in.first_line.back() == '\r') {
            in.first_line.pop_back();
        }
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (auto& c : name) {
                c = static_cast<char>(std::tolower(c));
            }
            const auto value = line.find_first_not_of(' ', colon + 1);
            in.fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        buf_.erase(0, end + 4);
        const auto length = std::strtoull(in.field("content-length").c_str(), nullptr, 10);
        while (buf_.size() < length) {
            if (!receive(until)) {
                in.body = buf_;
                return in;
            }
        }
        in.body = buf_.substr(0, length);
        buf_.erase(0, length);
        in.complete = true;
        return in;
    }
    bool has_bytes() const { return !buf_.empty(); }

private:
    bool receive(clock_type::time_point until) {
        for (;;) {
            const auto now = clock_type::now();
            int wait = 1000;
            if (until != clock_type::time_point::max()) {
                if (now >= until) {
                    return false;
                }
                wait = static_cast<int>(std::min<std::int64_t>(
                    1000, std::chrono::ceil<milliseconds>(until - now).count()));
            }
            pollfd it{fd_, POLLIN, 0};
            const int n = ::poll(&it, 1, wait);
            if (n > 0) {
                break;
            }
        }
        char piece[16384];
        const auto n = ::recv(fd_, piece, sizeof piece, 0);
        if (n <= 0) {
            return false;
        }
        buf_.append(piece, static_cast<std::size_t>(n));
        return true;
    }
    int fd_;
    std::string buf_;
};

inline std::string make_answer(int status,
                               const std::vector<std::pair<std::string, std::string>>& fields,
                               const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Server with one thread for each connection. Connections can be refused or cut.
class server {
public:
    using session = std::function<void(int fd)>;
    server(int port, session serve) : serve_(std::move(serve)) {
        fd_ = listen_on_loopback(port, port_);
        if (fd_ < 0) {
            std::fprintf(stderr, "can't listen on port %d\n", port);
            std::exit(2);
        }
        std::thread([this, fd = fd_] { accept_all(fd); }).detach();
    }
    int port() const { return port_; }
    /// While silent, new connections hang, as to a machine without power: the queue of the
    /// listening socket is full, so that opening packets are dropped.
    void set_silent(bool silent) {
        silent_ = silent;
        ::listen(fd_, silent ? 0 : backlog);
        for (int i = 0; silent && i < fillers; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port_));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            (void)::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
            filler_fds_.push_back(fd);
        }
        while (!silent && !filler_fds_.empty()) {
            ::close(filler_fds_.back());
            filler_fds_.pop_back();
        }
    }
    /// Resets all connections. The listening socket stays open.
    void reset_connections() {
        const std::lock_guard lock(mutex_);
        for (const int fd : open_) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    /// Closes the listening socket and resets all connections, as a process that ends.
    void end() {
        const std::lock_guard lock(mutex_);
        ended_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        for (const int fd : open_) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept_all(int listener) {
        for (;;) {
            pollfd it{listener, POLLIN, 0};
            if (silent_ || ::poll(&it, 1, 100) == 0 || silent_) {
                std::this_thread::sleep_for(milliseconds(silent_ ? 5 : 0));
                continue;
            }
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                const std::lock_guard lock(mutex_);
                if (ended_) {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] {
                serve_(fd);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
                ::close(fd);
            }).detach();
        }
    }
    static constexpr int backlog = 512;
    static constexpr int fillers = 4;
    session serve_;
    std::atomic<bool> silent_{false};
    std::vector<int> filler_fds_;
    int fd_{-1};
    int port_{0};
    std::mutex mutex_;
    std::set<int> open_;
    bool ended_{false};
};

// ---- the platform's store ----

inline std::string base64(const std::string& in) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned v = static_cast<unsigned char>(in[i]) << 16U;
        if (i + 1 < in.size()) {
            v |= static_cast<unsigned char>(in[i + 1]) << 8U;
        }
        if (i + 2 < in.size()) {
            v |= static_cast<unsigned char>(in[i + 2]);
        }
        out += digits[v >> 18U];
        out += digits[(v >> 12U) & 63U];
        out += i + 1 < in.size() ? digits[(v >> 6U) & 63U] : '=';
        out += i + 2 < in.size() ? digits[v & 63U] : '=';
    }
    return out;
}

/// The store as PROTOCOL.md describes it, for reading calls: kv-range and kv-watch with a history.
/// Each caller is known by the port that it connects to, so that one caller can be cut off.
class store {
public:
    struct event {
        std::uint64_t revision;
        std::string key;
        std::string value; ///< base64
        bool deleted;
    };
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        auto& it = items_[key];
        it = {++revision_, key, base64(value), false};
        history_.push_back(it);
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        history_.push_back({++revision_, key, "", true});
        changed_.notify_all();
    }
    /// Opens an address of the store. Callers of different addresses can be cut off separately.
    /// \returns its port
    int open(std::shared_ptr<std::atomic<bool>> cut) {
        servers_.push_back(std::make_unique<server>(0, [this, cut](int fd) { serve(fd, *cut); }));
        return servers_.back()->port();
    }
    std::uint64_t revision() {
        const std::lock_guard lock(mutex_);
        return revision_;
    }

private:
    void serve(int fd, const std::atomic<bool>& cut) {
        message_reader reader(fd);
        for (;;) {
            const auto in = reader.read();
            if (!in.complete) {
                return;
            }
            if (cut) {
                // Partitioned: what is sent on this connection gets no answer.
                while (cut) {
                    std::this_thread::sleep_for(milliseconds(20));
                }
                return;
            }
            std::this_thread::sleep_for(milliseconds(4));
            const auto out = answer(in.target());
            if (cut || !send_text(fd, out)) {
                return;
            }
        }
    }
    static std::string parameter(const std::string& target, const std::string& name) {
        for (const char* before : {"?", "&"}) {
            const auto at = target.find(before + name + "=");
            if (at != std::string::npos) {
                const auto from = at + name.size() + 2;
                return target.substr(from, target.find('&', from) - from);
            }
        }
        return "";
    }
    static std::string to_json(const event& it) {
        std::string text =
            "{\"key\":\"" + it.key + "\",\"revision\":" + std::to_string(it.revision);
        return text + (it.deleted
                           ? ",\"deleted\":true}"
                           : ",\"created_at\":1,\"lease\":0,\"value\":\"" + it.value + "\"}");
    }
    std::string answer(const std::string& target) {
        std::unique_lock lock(mutex_);
        if (target.rfind("/v1/kv-range", 0) == 0) {
            std::string items;
            for (const auto& [key, it] : items_) {
                items += (items.empty() ? "" : ",") + to_json(it);
            }
            return make_answer(200, {{"Content-Type", "application/json"}},
                               "{\"items\":[" + items + "],\"has_more\":false,\"at\":" +
                                   std::to_string(revision_) + "}");
        }
        if (target.rfind("/v1/kv-watch", 0) != 0) {
            return make_answer(404, {}, "");
        }
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto wait = std::atoi(parameter(target, "wait_ms").c_str());
        changed_.wait_for(lock, milliseconds(wait), [&] { return revision_ > after; });
        std::string events;
        for (const auto& it : history_) {
            if (it.revision > after) {
                events += (events.empty() ? "" : ",") + to_json(it);
            }
        }
        return make_answer(200, {{"Content-Type", "application/json"}},
                           "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) +
                               "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{100};
    std::map<std::string, event> items_;
    std::vector<event> history_;
    std::vector<std::unique_ptr<server>> servers_;
};

// ---- endpoints ----

/// One endpoint as PROTOCOL.md describes it.
class endpoint {
public:
    struct behaviour {
        int capacity{6};
        int queue{2};
        milliseconds work{100};
        /// Work of the requests whose path contains "large".
        milliseconds large_work{100};
        /// A request whose path contains "poison" crashes the endpoint: it is silent for so long,
        /// then its connections are reset and it is a new process. 0: such requests are harmless.
        milliseconds crash_time{0};
        /// Time on the way between a node and the endpoint, in each direction.
        std::chrono::microseconds one_way{0};
        /// Share of the answers that are sent a second time, late.
        std::function<double()> copies{[] { return 0.0; }};
    };
    /// \param port port to listen on, 0: any
    /// \param born_ms Unix milliseconds of the start
    endpoint(std::string id, std::string service, behaviour how, recorder& record,
             std::uint64_t seed, int port = 0, std::uint64_t born_ms = 1'790'000'000'000)
        : id_(std::move(id)), service_(std::move(service)), born_ms_(born_ms), how_(std::move(how)),
          record_(&record), random_(seed), server_(port, [this](int fd) { serve(fd); }) {}

    const std::string& id() const { return id_; }
    int port() const { return server_.port(); }
    std::string registration(const std::string& state, int sequence) const {
        return "{\"address\":\"127.0.0.1:" + std::to_string(port()) +
               "\",\"born\":" + std::to_string(born_ms_) + ",\"info\":{\"service\":\"" + service_ +
               "\",\"zone\":\"glas-a\",\"version\":\"v1\",\"capacity\":" +
               std::to_string(how_.capacity) + "},\"status\":{\"state\":\"" + state +
               "\",\"sequence\":" + std::to_string(sequence) + ",\"cold_left_s\":0}}";
    }
    /// \returns how often each request has run
    std::map<std::string, int> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    /// Every answer from now on says that the endpoint leaves.
    void leave() { leaving_ = true; }
    void end() { server_.end(); }
    std::function<void(const std::string& id)> on_run{[](const std::string&) {}};

private:
    void serve(int fd) {
        message_reader reader(fd);
        std::string late_copy;
        for (;;) {
            const auto in = reader.read();
            if (!in.complete) {
                return;
            }
            std::this_thread::sleep_for(how_.one_way);
            const auto id = in.field("x-wigeonrill-request-id");
            const int process = process_;
            if (crashed_) {
                wait_for_restart();
                return;
            }
            if (how_.crash_time.count() > 0 && in.target().find("poison") != std::string::npos) {
                if (crashed_.exchange(true)) {
                    wait_for_restart();
                } else {
                    crash(id);
                }
                return;
            }
            if (!late_copy.empty()) {
                record_->write(id_ +
                               " sends a late copy of its answer to an earlier request, now " + id +
                               " is expected: " + late_copy.substr(9, 3));
                if (!send_text(fd, late_copy)) {
                    return;
                }
                late_copy.clear();
            }
            auto out = answer(in, id);
            if (crashed_ || process_ != process) {
                wait_for_restart();
                return;
            }
            std::this_thread::sleep_for(how_.one_way);
            if (leaving_) {
                out.insert(out.find("\r\n") + 2, "Server-Leaving: 1\r\n");
            }
            if (!send_text(fd, out)) {
                return;
            }
            if (draw() < how_.copies()) {
                late_copy = out;
            }
        }
    }
    void crash(const std::string& id) {
        {
            const std::lock_guard lock(mutex_);
            ++runs_[id];
        }
        record_->write(id_ + " runs " + id + " and crashes");
        on_run(id);
        server_.set_silent(true);
        std::this_thread::sleep_for(how_.crash_time);
        ++process_;
        record_->write(id_ + " is back");
        server_.set_silent(false);
        std::this_thread::sleep_for(milliseconds(20));
        server_.reset_connections();
        crashed_ = false;
    }
    void wait_for_restart() const {
        while (crashed_) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    double draw() {
        const std::lock_guard lock(mutex_);
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    std::string answer(const message& in, const std::string& id) {
        const auto expected = in.field("x-wigeonrill-target-instance");
        if (!expected.empty() && expected != id_) {
            return make_answer(
                421, {{"X-Wigeonrill-Request-Id", id}, {"X-Wigeonrill-Instance-Id", id_}}, "");
        }
        int run = 0;
        {
            std::unique_lock lock(mutex_);
            if (running_ >= how_.capacity && waiting_ >= how_.queue) {
                record_->write(id_ + " rejects " + id + ", full");
                return make_answer(503,
                                   {{"X-Wigeonrill-Request-Id", id},
                                    {"X-Wigeonrill-Not-Executed", "1"},
                                    {"X-Wigeonrill-Server-Load", load()}},
                                   "");
            }
            ++waiting_;
            freed_.wait(lock, [&] { return running_ < how_.capacity; });
            --waiting_;
            ++running_;
            run = ++runs_[id];
        }
        record_->write(id_ + " runs " + id + " " + in.method() + " " + in.target() +
                       (run > 1 ? " AGAIN" : ""));
        on_run(id);
        // An endpoint stops work at the deadline that it receives.
        const milliseconds deadline(std::atoi(in.field("x-wigeonrill-deadline-ms").c_str()));
        const auto work =
            in.target().find("large") != std::string::npos ? how_.large_work : how_.work;
        std::this_thread::sleep_for(std::min(work, deadline));
        const int status = work > deadline ? 504 : 200;
        record_->write(id_ + " ends the run of " + id + ": " + std::to_string(status));
        std::string out;
        {
            const std::lock_guard lock(mutex_);
            --running_;
            out = make_answer(status,
                              {{"X-Wigeonrill-Request-Id", id},
                               {"X-Wigeonrill-Response-Signature", id + "." + std::to_string(run)},
                               {"X-Wigeonrill-Server-Load", load()}},
                              "answer to " + id);
        }
        freed_.notify_one();
        return out;
    }
    std::string load() const {
        return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
               std::to_string(how_.capacity);
    }

    std::string id_;
    std::string service_;
    std::uint64_t born_ms_;
    behaviour how_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> crashed_{false};
    std::atomic<int> process_{0};
    recorder* record_;
    std::mutex mutex_;
    std::condition_variable freed_;
    std::mt19937_64 random_;
    int running_{0};
    int waiting_{0};
    std::map<std::string, int> runs_;
    server server_;
};

// ---- clients ----

/// A client with one kept connection.
class client {
public:
    explicit client(int port) : port_(port) {}
    ~client() { disconnect(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void disconnect() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
        reader_.reset();
    }
    /// Sends one request and reads its answer. The status of an answer that didn't come is 0.
    message send(const std::string& method, const std::string& host, const std::string& path,
                 const std::string& id, milliseconds deadline, const std::string& body = "") {
        if (fd_ < 0) {
            fd_ = connect_to(port_);
            if (fd_ < 0) {
                return {};
            }
            reader_ = std::make_unique<message_reader>(fd_);
        }
        const bool sent = send_text(
            fd_, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Wigeonrill-Request-Id: " + id +
                     "\r\nX-Wigeonrill-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" +
                     (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                                       : "") +
                     "\r\n" + body);
        auto in = sent ? reader_->read(clock_type::now() + deadline) : message{};
        if (!in.complete || in.field("connection") == "close") {
            disconnect();
        }
        return in;
    }

private:
    int port_;
    int fd_{-1};
    std::unique_ptr<message_reader> reader_;
};

// ---- nodes ----

/// One process of the system, started with the command of the deploy file.
class node {
public:
    node(std::string name, std::string folder, std::string repository)
        : name_(std::move(name)), folder_(std::move(folder)), repository_(std::move(repository)) {
        const auto ports = free_ports(3);
        front = ports[0];
        ready = ports[1];
        control = ports[2];
    }
    ~node() { signal(SIGKILL); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void write_settings(int store_port, const std::vector<int>& seeds, const std::string& zone) {
        std::ifstream in(repository_ + "/deploy/settings.json.template");
        std::stringstream text;
        text << in.rdbuf();
        std::string list = "[";
        for (const int port : seeds) {
            list += (list.size() > 1 ? ",\"" : "\"") + loopback(port) + "\"";
        }
        const std::map<std::string, std::string> values{{"zone", zone},
                                                        {"listen.front", loopback(front)},
                                                        {"listen.ready", loopback(ready)},
                                                        {"listen.control", loopback(control)},
                                                        {"platform.address", loopback(store_port)},
                                                        {"seeds|json", list + "]"},
                                                        {"bounds.grace_s", "6"}};
        std::string out = text.str();
        for (const auto& [key, value] : values) {
            const auto placeholder = "{{" + key + "}}";
            for (auto at = out.find(placeholder); at != std::string::npos;
                 at = out.find(placeholder)) {
                out.replace(at, placeholder.size(), value);
            }
        }
        std::ofstream(settings_path()) << out;
    }
    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the node ends with this program
            const auto log = folder_ + "/" + name_ + ".log";
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            if (::chdir(repository_.c_str()) != 0) {
                ::_exit(127);
            }
            const auto path = settings_path();
            ::setenv("WIGEONRILL_CONFIG", path.c_str(), 1);
            ::execl("target/bin/wigeonrilld", "target/bin/wigeonrilld", "--settings", path.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    bool is_ready() const {
        client asker(ready);
        return asker.send("GET", "node", "/ready", "ready", milliseconds(1000)).status() == 200;
    }
    bool wait_ready(milliseconds limit) const {
        const auto end = clock_type::now() + limit;
        while (clock_type::now() < end) {
            if (is_ready()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }
    void signal(int number) {
        if (pid_ > 0) {
            ::kill(pid_, number);
            if (number == SIGKILL) {
                ::waitpid(pid_, nullptr, 0);
                pid_ = -1;
            }
        }
    }
    /// \returns whether the process runs
    bool runs() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    const std::string& name() const { return name_; }
    /// Copies the lines of the node's log that contain a text to the record.
    void copy_log(const std::string& text, recorder& record) const {
        std::ifstream in(folder_ + "/" + name_ + ".log");
        for (std::string line; std::getline(in, line);) {
            if (line.find(text) != std::string::npos) {
                record.write("log of " + name_ + ": " + line);
            }
        }
    }
    int front{0};
    int ready{0};
    int control{0};

private:
    static std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }
    std::string settings_path() const { return folder_ + "/" + name_ + ".json"; }
    std::string name_;
    std::string folder_;
    std::string repository_;
    pid_t pid_{-1};
};

inline std::string environment(const char* name, const std::string& otherwise) {
    const char* value = std::getenv(name);
    return value != nullptr ? value : otherwise;
}

/// Ends the process without waiting for the threads of the stand-ins. The nodes have ended before.
[[noreturn]] inline void finish(int status) {
    std::fflush(nullptr);
    std::_Exit(status);
}

/// The operator's configuration: an unsafe route to one service and a safe one to another.
inline std::string operator_configuration(int version, const std::string& orders,
                                          const std::string& lookups) {
    std::ostringstream out;
    const auto route = [&](const char* name, const char* prefix, const char* kind,
                           const std::string& service) {
        out << "\"" << name << "\":{\"host\":\"shop.example\",\"prefix\":\"" << prefix
            << "\",\"kind\":\"" << kind << "\",\"attempts\":2,\"timeout_s\":6,"
            << "\"target_latency_s\":2,\"priority\":1,\"service\":\"" << service << "\"}";
    };
    out << "{\"version\":" << version << ",\"routes\":{";
    route("order", "/order/", "unsafe", orders);
    out << ",";
    route("look", "/look/", "safe", lookups);
    out << "},\"services\":{\"" << orders << "\":{}";
    if (lookups != orders) {
        out << ",\"" << lookups << "\":{}";
    }
    out << "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
           "\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    return out.str();
}

} // namespace review

#endif
