#ifndef REVIEW_STANDINS_2_SITE_HH
#define REVIEW_STANDINS_2_SITE_HH

/// \file
/// \brief Stand-ins of the users' platform for the scripts of this review: store, servers, clients,
///        and the processes of a small deployment. Header only; plain POSIX sockets on loopback.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace site {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

inline const time_point started = clock_type::now();

inline double seconds_since(time_point from) {
    return std::chrono::duration<double>(clock_type::now() - from).count();
}
inline void sleep_s(double s) {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(s, 0.0)));
}

/// \brief Writes record.txt: a line for each thing sent, answered or run, with the time in seconds.
class record {
public:
    void open(const std::string& path) { out_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        if (out_ == nullptr) {
            return;
        }
        std::fprintf(out_, "%9.3f ", seconds_since(started));
        va_list args;
        va_start(args, format);
        std::vfprintf(out_, format, args);
        va_end(args);
        std::fputc('\n', out_);
        std::fflush(out_);
    }

private:
    std::mutex mutex_;
    std::FILE* out_{nullptr};
};

inline record rec;

/// \returns whether the disruption of the case is to be brought about
inline bool trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// ---------------------------------------------------------------------------------------------
// Sockets and HTTP

inline bool wait_for(int fd, short events, time_point until) {
    for (;;) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        if (left <= 0) {
            return false;
        }
        pollfd it{fd, events, 0};
        const int n = ::poll(&it, 1, static_cast<int>(std::min<long>(left + 1, 1000)));
        if (n > 0) {
            return true;
        }
    }
}

struct socket_options {
    int receive_buffer{0}; ///< bytes; 0: the system's default
    int segment{0};        ///< largest TCP segment that is announced; 0: the system's default
};

/// \brief Opens a listening socket on a loopback address.
/// \param port 0 lets the system choose; receives the port
inline int listen_on(const std::string& ip, int& port, const socket_options& options = {}) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (options.receive_buffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
                     sizeof options.receive_buffer);
    }
    if (options.segment > 0) {
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        ::_exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// \returns a connected socket, or -1
inline int connect_to(const std::string& ip, int port, double limit_s = 1.0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto until = clock_type::now() + milliseconds(static_cast<int>(limit_s * 1000));
    int error = 0;
    socklen_t size = sizeof error;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
        (errno != EINPROGRESS || !wait_for(fd, POLLOUT, until) ||
         ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes, time_point until) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (errno != EAGAIN || !wait_for(fd, POLLOUT, until)) {
            return false;
        }
    }
    return true;
}

inline bool closed_by_peer(int fd) {
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

inline void reset(int fd) {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

inline std::string lower(std::string text) {
    for (auto& it : text) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    return text;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    [[nodiscard]] std::string field(const std::string& name) const {
        const auto it = fields.find(lower(name));
        return it == fields.end() ? std::string() : it->second;
    }
    [[nodiscard]] int status() const {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto at = first_line.find(' ');
        return first_line.substr(at + 1, first_line.find(' ', at + 1) - at - 1);
    }
};

enum class read_end { whole, closed, truncated, timed_out };

/// \brief Reads HTTP messages with a Content-Length, with chunks or that end with the connection.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}
    /// Limits the speed at which bodies are read, to look like a slow machine. 0: no limit.
    double body_bytes_per_s{0};
    /// \param is_answer the body of an answer without a length ends with the connection
    read_end read(message& into, time_point until, bool is_answer = false) {
        into = {};
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
            const auto got = more(until, 4096);
            if (got != read_end::whole) {
                return got == read_end::closed && !buf_.empty() ? read_end::truncated : got;
            }
        }
        parse_head(into, buf_.substr(0, end));
        buf_.erase(0, end + 4);
        const bool has_body =
            !is_answer || (into.status() >= 200 && into.status() != 204 && into.status() != 304);
        if (!has_body) {
            return read_end::whole;
        }
        if (lower(into.field("Transfer-Encoding")) == "chunked") {
            return read_chunks(into, until);
        }
        const auto length = into.field("Content-Length");
        if (length.empty()) {
            return is_answer ? read_to_end(into, until) : read_end::whole;
        }
        const auto wanted = static_cast<std::size_t>(std::atoll(length.c_str()));
        const auto began = clock_type::now();
        while (buf_.size() < wanted) {
            if (body_bytes_per_s > 0) {
                const double due = static_cast<double>(buf_.size()) / body_bytes_per_s;
                sleep_s(due - seconds_since(began));
            }
            if (const auto got = more(until, body_bytes_per_s > 0 ? 2048 : 65536);
                got != read_end::whole) {
                return got == read_end::closed ? read_end::truncated : got;
            }
        }
        into.body = buf_.substr(0, wanted);
        buf_.erase(0, wanted);
        return read_end::whole;
    }

private:
    static void parse_head(message& into, const std::string& head) {
        std::istringstream lines(head);
        std::getline(lines, into.first_line);
        if (!into.first_line.empty() && into.first_line.back() == '\r') {
            into.first_line.pop_back();
        }
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            into.fields[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    read_end read_chunks(message& into, time_point until) {
        for (;;) {
            std::size_t eol = 0;
            while ((eol = buf_.find("\r\n")) == std::string::npos) {
                if (const auto got = more(until, 65536); got != read_end::whole) {
                    return got == read_end::closed ? read_end::truncated : got;
                }
            }
            const auto size = static_cast<std::size_t>(std::strtoul(buf_.c_str(), nullptr, 16));
            while (buf_.size() < eol + 2 + size + 2) {
                if (const auto got = more(until, 65536); got != read_end::whole) {
                    return got == read_end::closed ? read_end::truncated : got;
                }
            }
            into.body += buf_.substr(eol + 2, size);
            buf_.erase(0, eol + 2 + size + 2);
            if (size == 0) {
                return read_end::whole;
            }
        }
    }
    read_end read_to_end(message& into, time_point until) {
        for (;;) {
            const auto got = more(until, 65536);
            if (got != read_end::whole) {
                into.body = std::move(buf_);
                buf_.clear();
                return got == read_end::closed ? read_end::whole : got;
            }
        }
    }
    read_end more(time_point until, std::size_t most) {
        if (!wait_for(fd_, POLLIN, until)) {
            return read_end::timed_out;
        }
        std::string piece(most, '\0');
        const auto n = ::recv(fd_, piece.data(), most, 0);
        if (n > 0) {
            buf_.append(piece.data(), static_cast<std::size_t>(n));
            return read_end::whole;
        }
        return n == 0 ? read_end::closed : read_end::truncated;
    }
    int fd_;
    std::string buf_;
};

inline std::string answer_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------------------------
// The platform's store

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned v = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            v = v << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? digits[v >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

/// \brief The platform's store: lists, watches and reads as PROTOCOL.md says.
class store {
public:
    store() {
        listener_ = listen_on("127.0.0.1", port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    std::thread([this, fd] { serve(fd); }).detach();
                }
            }
        }).detach();
    }
    [[nodiscard]] int port() const { return port_; }
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.revision = revision_;
        it.value = base64(value);
        events_.push_back({revision_, text_of(key, it)});
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        if (items_.erase(key) > 0) {
            ++revision_;
            events_.push_back({revision_, "{\"key\":\"" + key + "\",\"revision\":" +
                                              std::to_string(revision_) + ",\"deleted\":true}"});
            changed_.notify_all();
        }
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
    };
    struct event {
        std::uint64_t revision;
        std::string text;
    };
    static std::string text_of(const std::string& key, const item& it) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + it.value +
               "\",\"revision\":" + std::to_string(it.revision) +
               ",\"created_at\":" + std::to_string(it.created) + ",\"lease\":0}";
    }
    static std::string parameter(const std::string& target, const std::string& name) {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 2;
        std::string raw = target.substr(at, target.find('&', at) - at);
        std::string text;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                text += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                text += raw[i];
            }
        }
        return text;
    }
    std::string list(const std::string& target) {
        const auto prefix = parameter(target, "prefix");
        const auto after = parameter(target, "after");
        const std::lock_guard lock(mutex_);
        std::string items;
        int n = 0;
        bool more = false;
        for (const auto& [key, it] : items_) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (n == 500) {
                more = true;
                break;
            }
            items += (n++ > 0 ? "," : "") + text_of(key, it);
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false") +
               ",\"at\":" + std::to_string(revision_) + "}";
    }
    std::string watch(const std::string& target) {
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto wait = std::atoi(parameter(target, "wait_ms").c_str());
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, milliseconds(wait), [&] { return revision_ > after; });
        std::string events;
        for (const auto& it : events_) {
            if (it.revision > after) {
                events += (events.empty() ? "" : ",") + it.text;
            }
        }
        return "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}";
    }
    void serve(int fd) {
        reader in(fd);
        message request;
        while (in.read(request, clock_type::now() + std::chrono::hours(1)) == read_end::whole) {
            const auto target = request.target();
            const bool is_watch = target.rfind("/v1/kv-watch", 0) == 0;
            const auto body = is_watch ? watch(target) : list(target);
            if (!send_all(fd, answer_text(200, "Content-Type: application/json\r\n", body),
                          clock_type::now() + std::chrono::seconds(5))) {
                break;
            }
        }
        ::close(fd);
    }
    int listener_{-1};
    int port_{0};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::uint64_t revision_{7};
};

// ---------------------------------------------------------------------------------------------
// Servers

/// \brief One run of a request at a server.
struct run {
    std::string id;
    std::string server;
    double began{0};
    double ended{-1}; ///< -1: still at work
    bool cancelled{false};
};

/// \brief A server as PROTOCOL.md describes it: checks the instance and the id, runs `slots`
///        requests at once and queues `queue` more, stops when the connection closes or at the
///        deadline, and signs its answers.
class server {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone{"z1"};
        int slots{6};
        int queue{24};
        double work_s{0.3};
        socket_options socket;
    };
    server(store& where, options how) : store_(&where), options_(std::move(how)) {
        listener_ = listen_on("127.0.0.1", port_, options_.socket);
        born_ms_ = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
        start_accepting();
    }
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] const std::string& id() const { return options_.id; }
    [[nodiscard]] long long born_ms() const { return born_ms_; }
    /// Bytes per second at which bodies of requests are read; 0: at once.
    std::atomic<double> body_bytes_per_s{0};
    /// Share of the answers that are lost by a reset after the request has run.
    std::atomic<double> lost_share{0};
    std::function<void(const std::string&)> on_arrival; ///< receives the id of each request

    void write_record(const std::string& state = "ready") {
        ++sequence_;
        store_->put("servers/" + options_.id, record_text(options_.service, state, born_ms_));
    }
    /// \returns the text of a record for this server's address
    [[nodiscard]] std::string record_text(const std::string& service, const std::string& state,
                                          long long born) const {
        std::ostringstream out;
        out << R"({"address":"127.0.0.1:)" << port_ << R"(","born":)" << born
            << R"(,"info":{"service":")" << service << R"(","version":"v1","zone":")"
            << options_.zone << R"(","capacity":)" << options_.slots << R"(},"status":{"state":")"
            << state << R"(","sequence":)" << sequence_ << R"(,"cold_left_s":0.0}})";
        return out.str();
    }
    /// Tells which requests crash the server when it begins to run them; empty: none.
    std::function<bool(const message&)> crashes;
    std::function<void()> on_crash;
    /// \brief Ends like a process that crashes, and is back after some seconds under a new id.
    void crash(double back_after_s) {
        rec.line("server %s crashes", options_.id.c_str());
        const auto key = "servers/" + options_.id;
        refuse_new_connections();
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        std::thread([this, key, back_after_s] {
            sleep_s(back_after_s);
            const std::lock_guard lock(mutex_);
            options_.id += "n";
            born_ms_ = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
            listener_ = listen_on("127.0.0.1", port_, options_.socket);
            accepting_ = true;
            start_accepting();
            store_->remove(key);
            write_record();
            rec.line("server %s starts in its place", options_.id.c_str());
        }).detach();
    }
    /// \brief Refuses new connections; those that are open live on.
    void refuse_new_connections() {
        accepting_ = false;
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
    }
    [[nodiscard]] std::vector<run> runs() {
        const std::lock_guard lock(mutex_);
        return {runs_.begin(), runs_.end()};
    }

private:
    void start_accepting() {
        std::thread([this, fd = listener_] {
            while (accepting_) {
                const int one = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (one >= 0) {
                    std::thread([this, one] { serve(one); }).detach();
                }
            }
        }).detach();
    }
    std::string load() {
        return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
               std::to_string(options_.slots);
    }
    // Returns false when the connection must be closed.
    bool answer(int fd, const message& request) {
        const auto id = request.field("X-Wigeonrill-Request-Id");
        const auto until = clock_type::now() + std::chrono::seconds(30);
        const auto fields = [&] {
            const std::lock_guard lock(mutex_);
            return "X-Wigeonrill-Request-Id: " + id + "\r\nX-Wigeonrill-Server-Load: " + load() +
                   "\r\n";
        };
        const std::string not_run = "X-Wigeonrill-Not-Executed: 1\r\n";
        if (request.target() == "/health") {
            return send_all(
                fd, answer_text(200, "X-Wigeonrill-Instance-Id: " + options_.id + "\r\n", "ok"),
                until);
        }
        if (id.empty()) {
            return send_all(fd, answer_text(400, not_run, "no id"), until);
        }
        const auto instance = request.field("X-Wigeonrill-Target-Instance");
        if (!instance.empty() && instance != options_.id) {
            return send_all(fd, answer_text(421, fields() + not_run, "another server"), until);
        }
        if (on_arrival) {
            on_arrival(id);
        }
        const auto deadline_text = request.field("X-Wigeonrill-Deadline-Ms");
        const auto deadline =
            clock_type::now() +
            milliseconds(deadline_text.empty() ? 30'000 : std::atoi(deadline_text.c_str()));
        run* mine = nullptr;
        {
            std::unique_lock lock(mutex_);
            if (running_ >= options_.slots && waiting_ >= options_.queue) {
                lock.unlock();
                return send_all(fd, answer_text(503, fields() + not_run, "full"), until);
            }
            ++waiting_;
            while (running_ >= options_.slots) {
                free_.wait_for(lock, milliseconds(20));
                if (closed_by_peer(fd)) {
                    --waiting_;
                    return false;
                }
                if (clock_type::now() >= deadline) {
                    --waiting_;
                    lock.unlock();
                    return send_all(fd, answer_text(503, fields() + not_run, "late"), until);
                }
            }
            --waiting_;
            ++running_;
            runs_.push_back({id, options_.id, seconds_since(started)});
            mine = &runs_.back();
        }
        rec.line("server %s runs %s", options_.id.c_str(), id.c_str());
        if (crashes && crashes(request)) {
            {
                const std::lock_guard lock(mutex_);
                --running_;
                mine->ended = seconds_since(started);
            }
            if (on_crash) {
                on_crash();
            }
            crash(3.0);
            return false;
        }
        // A request may name its work in its query, as ?work_s=0.1.
        const auto query = request.target().find("?work_s=");
        const double work = query == std::string::npos
                                ? options_.work_s
                                : std::atof(request.target().c_str() + query + 8);
        const auto done = clock_type::now() + milliseconds(static_cast<int>(work * 1000));
        bool cancelled = false;
        while (!cancelled && clock_type::now() < std::min(done, deadline)) {
            std::this_thread::sleep_for(milliseconds(5));
            cancelled = closed_by_peer(fd);
        }
        const bool late = !cancelled && done > deadline;
        {
            const std::lock_guard lock(mutex_);
            --running_;
            mine->ended = seconds_since(started);
            mine->cancelled = cancelled;
            free_.notify_one();
        }
        rec.line("server %s ends %s: %s", options_.id.c_str(), id.c_str(),
                 cancelled ? "its connection was closed"
                 : late    ? "deadline"
                           : "done");
        if (cancelled) {
            return false;
        }
        if (lost_share > 0 && draw() < lost_share) {
            rec.line("server %s loses the answer of %s", options_.id.c_str(), id.c_str());
            return false;
        }
        const auto signature =
            "X-Wigeonrill-Response-Signature: " + options_.id + "." + id + "\r\n";
        return send_all(fd, answer_text(late ? 504 : 200, fields() + signature, "answer to " + id),
                        until);
    }
    double draw() {
        const std::lock_guard lock(mutex_);
        random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(random_ >> 11U) / 9007199254740992.0;
    }
    void serve(int fd) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
        }
        reader in(fd);
        message request;
        for (;;) {
            in.body_bytes_per_s = body_bytes_per_s;
            // An idle connection is closed after 10 s; a body may take longer.
            const auto got = in.read(request, clock_type::now() + std::chrono::seconds(60));
            if (got != read_end::whole || !answer(fd, request)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        reset(fd);
    }
    store* store_;
    options options_;
    int listener_{-1};
    int port_{0};
    long long born_ms_{0};
    std::atomic<int> sequence_{0};
    std::atomic<bool> accepting_{true};
    std::mutex mutex_;
    std::condition_variable free_;
    int running_{0};
    int waiting_{0};
    std::deque<run> runs_;
    std::set<int> open_; ///< connections
    std::uint64_t random_{
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())};
};

// ---------------------------------------------------------------------------------------------
// Nodes

/// \brief Replaces the placeholders of the settings template that this deployment has.
inline std::string fill_template(std::string text, const std::map<std::string, std::string>& with) {
    for (const auto& [name, value] : with) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

/// \returns a port that nothing uses. It is below those that the system gives to connections, so
///          that none of them takes it before the node does.
inline int free_port() {
    static std::set<int> given;
    static unsigned next =
        static_cast<unsigned>(::getpid()) * 37U +
        static_cast<unsigned>(std::chrono::system_clock::now().time_since_epoch().count() / 1000);
    for (;;) {
        const int port = 12'000 + static_cast<int>(next++ % 18'000U);
        if (!given.insert(port).second) {
            continue;
        }
        const int kinds[] = {SOCK_STREAM, SOCK_DGRAM};
        bool free = true;
        for (const int kind : kinds) {
            const int fd = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
            free = free && ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (free) {
            return port;
        }
    }
}

/// \brief One node of the system: a process of target/bin/wigeonrilld.
class node {
public:
    int front{free_port()};
    int ready{free_port()};
    int control{free_port()};
    pid_t pid{-1};

    node(std::string folder, std::string name)
        : folder_(std::move(folder)), name_(std::move(name)) {}
    void write_settings(const std::string& store_address, const std::string& seeds, int grace_s) {
        std::ifstream in("deploy/settings.json.template");
        std::ostringstream text;
        text << in.rdbuf();
        const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        std::ofstream(settings()) << fill_template(text.str(),
                                                   {{"zone", "z1"},
                                                    {"listen.front", at(front)},
                                                    {"listen.ready", at(ready)},
                                                    {"listen.control", at(control)},
                                                    {"platform.address", store_address},
                                                    {"seeds|json", seeds},
                                                    {"bounds.grace_s", std::to_string(grace_s)}});
    }
    void start() {
        const auto path = settings();
        const auto log = folder_ + "/" + name_ + ".log";
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The node ends with the script, however that ends.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/wigeonrilld", "wigeonrilld", "--settings", path.c_str(), nullptr);
            ::_exit(127);
        }
        rec.line("node %s starts", name_.c_str());
    }
    void send_signal(int number) const {
        rec.line("node %s gets signal %d", name_.c_str(), number);
        ::kill(pid, number);
    }
    /// \brief Kills the process and waits for its end.
    void kill() {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            rec.line("node %s was killed", name_.c_str());
        }
        pid = -1;
    }
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool has_ended() const {
        return pid > 0 && ::waitpid(pid, nullptr, WNOHANG) != 0;
    }

private:
    [[nodiscard]] std::string settings() const { return folder_ + "/" + name_ + ".json"; }
    std::string folder_;
    std::string name_;
};

// ---------------------------------------------------------------------------------------------
// Clients

struct request {
    std::string method{"GET"};
    std::string host{"h.example"};
    std::string path{"/"};
    std::string id;
    std::string extra_fields; ///< further header lines, each with its CRLF
    std::string body;
    double deadline_s{4.0};
    double leaves_after_s{0}; ///< the client closes its connection then; 0: at its deadline
};

struct outcome {
    int status{0}; ///< 0: no answer
    read_end ended{read_end::timed_out};
    bool connected{true};
    bool all_sent{false}; ///< the node has taken the whole request
    bool signed_answer{false};
    double sent_s{0};     ///< when the last byte of the request had been sent
    double answered_s{0}; ///< when the answer was complete or the client left
    std::string retry_after;
};

inline std::string new_id() {
    static std::atomic<int> next{0};
    static const auto base = static_cast<unsigned>(::getpid());
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", base, static_cast<unsigned>(++next));
    return text;
}

/// \brief Sends one request on a new connection and waits for its answer, until its deadline.
inline outcome send_request(int port, const request& what) {
    outcome result;
    const auto began = clock_type::now();
    const double stay = what.leaves_after_s > 0 ? what.leaves_after_s : what.deadline_s;
    const auto until = began + milliseconds(static_cast<int>(stay * 1000));
    const int fd = connect_to("127.0.0.1", port);
    if (fd < 0) {
        result.connected = false;
        result.ended = read_end::closed;
        rec.line("client: no connection for %s", what.id.c_str());
        return result;
    }
    std::string text =
        what.method + " " + what.path + " HTTP/1.1\r\nHost: " + what.host +
        "\r\nX-Wigeonrill-Request-Id: " + what.id + "\r\nX-Wigeonrill-Deadline-Ms: " +
        std::to_string(static_cast<int>(what.deadline_s * 1000)) + "\r\n" + what.extra_fields;
    if (!what.body.empty()) {
        text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    }
    const bool sent = send_all(fd, text + "\r\n" + what.body, until);
    result.all_sent = sent;
    result.sent_s = seconds_since(started);
    rec.line("client sends %s %s %s to port %d%s", what.id.c_str(), what.method.c_str(),
             what.path.c_str(), port, sent ? "" : " (not all was taken)");
    reader in(fd);
    message answer;
    do {
        result.ended = in.read(answer, until, true);
    } while (result.ended == read_end::whole && answer.status() < 200);
    result.answered_s = seconds_since(started);
    if (result.ended == read_end::whole) {
        result.status = answer.status();
        result.signed_answer = !answer.field("X-Wigeonrill-Response-Signature").empty();
        result.retry_after = answer.field("Retry-After");
    }
    static const char* ends[] = {"whole", "closed without an answer", "cut off", "client left"};
    rec.line("client gets %s: %d %s%s", what.id.c_str(), result.status,
             ends[static_cast<int>(result.ended)],
             result.status != 0 && !result.signed_answer ? ", by the node itself" : "");
    ::close(fd);
    return result;
}

inline bool node::is_ready() const {
    const int fd = connect_to("127.0.0.1", ready, 0.3);
    if (fd < 0) {
        return false;
    }
    const auto until = clock_type::now() + milliseconds(500);
    message answer;
    const bool ok = send_all(fd, "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n", until) &&
                    reader(fd).read(answer, until, true) == read_end::whole &&
                    answer.status() == 200;
    ::close(fd);
    return ok;
}

// ---------------------------------------------------------------------------------------------
// A small deployment

/// \brief Store, servers and nodes of one case; ends all processes when it is destroyed.
class deployment {
public:
    explicit deployment(int nodes, int grace_s = 6, int seeds = 3) {
        char pattern[] = "/tmp/wigeonrill-review-XXXXXX";
        folder_ = ::mkdtemp(pattern);
        std::string seed_list = "[";
        for (int i = 0; i < nodes; ++i) {
            nodes_.push_back(std::make_unique<node>(folder_, "node-" + std::to_string(i)));
            if (i < seeds) {
                seed_list += (i > 0 ? "," : "") + std::string("\"127.0.0.1:") +
                             std::to_string(nodes_.back()->control) + "\"";
            }
        }
        seed_list += "]";
        for (auto& it : nodes_) {
            it->write_settings("127.0.0.1:" + std::to_string(records.port()), seed_list, grace_s);
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    /// \brief Ends the nodes and removes the temporary folder. Threads of the stand-ins go on until
    ///        the process ends.
    void end_nodes() {
        for (auto& it : nodes_) {
            it->kill();
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                const auto base = folder_ + "/node-" + std::to_string(i);
                ::unlink((base + ".json").c_str());
                ::unlink((base + ".log").c_str());
            }
            ::rmdir(folder_.c_str());
        } else {
            std::printf("logs: %s\n", folder_.c_str());
        }
    }
    store records;
    std::vector<std::unique_ptr<server>> servers;
    server& add_server(server::options how) {
        servers.push_back(std::make_unique<server>(records, std::move(how)));
        return *servers.back();
    }
    node& at(std::size_t i) { return *nodes_.at(i); }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    void start_all() {
        for (auto& it : nodes_) {
            it->start();
        }
    }
    /// \returns false when a node isn't ready in time
    bool wait_ready(double limit_s = 15) {
        const auto began = clock_type::now();
        for (auto& it : nodes_) {
            while (it->pid > 0 && !it->is_ready()) {
                if (seconds_since(began) > limit_s) {
                    return false;
                }
                sleep_s(0.1);
            }
        }
        return true;
    }

private:
    std::string folder_;
    std::vector<std::unique_ptr<node>> nodes_;
};

inline bool is_ready_twice(deployment& all) {
    return all.wait_ready() && (sleep_s(1.5), all.wait_ready());
}

/// \brief Ends the script: 0 the rule held, 1 it was broken, 2 the case couldn't run.
[[noreturn]] inline void finish(deployment& all, int code, const std::string& why) {
    rec.line("verdict: %s", why.c_str());
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    all.end_nodes();
    ::_exit(code);
}

} // namespace site

#endif
