#ifndef REVIEW_STANDINS_3_SITE_H
#define REVIEW_STANDINS_3_SITE_H

// Stand-ins of the users' platform for the scripts of the third review: a store, endpoints,
// clients, and nodes that run the project's daemon as separate processes. Everything listens on
// 127.0.0.1. Only POSIX and the standard library are used.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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

inline time_point& start_time() {
    static time_point it = clock_type::now();
    return it;
}
inline double seconds_since_start(time_point when = clock_type::now()) {
    return std::chrono::duration<double>(when - start_time()).count();
}
inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// The file record.txt of a case; each line begins with the seconds since the start.
class record_file {
public:
    explicit record_file(const std::string& path) : out_(path) {}
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", seconds_since_start());
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline bool with_trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// --- sockets ---

inline int listen_on(int& port, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (receive_buffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

inline std::vector<int> free_ports(int n) {
    std::vector<int> ports;
    std::vector<int> held;
    for (int i = 0; i < n; ++i) {
        int port = 0;
        held.push_back(listen_on(port));
        ports.push_back(port);
    }
    for (const int fd : held) {
        ::close(fd);
    }
    return ports;
}

inline bool send_all(int fd, const std::string& text) {
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

inline bool wait_readable(int fd, time_point until) {
    for (;;) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count() + 1;
        if (left <= 0) {
            return false;
        }
        pollfd it{fd, POLLIN, 0};
        if (::poll(&it, 1, static_cast<int>(left)) > 0) {
            return true;
        }
    }
}

// --- HTTP ---

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
        return it == fields.end() ? "" : it->second;
    }
    [[nodiscard]] bool has(const std::string& name) const { return fields.count(lower(name)) > 0; }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto from = first_line.find(' ') + 1;
        return first_line.substr(from, first_line.find(' ', from) - from);
    }
    [[nodiscard]] int status() const {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
};

/// Reads messages from a connection.
class reader {
public:
    enum class result { whole, ended, late, broken };
    explicit reader(int fd) : fd_(fd) {}

    [[nodiscard]] result read_head(message& out, time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const auto got = more(until);
            if (got != result::whole) {
                return got;
            }
        }
        out = message{};
        std::istringstream in(buffer_.substr(0, end + 2));
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(in, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (out.first_line.empty()) {
                out.first_line = line;
            } else if (const auto colon = line.find(':'); colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                out.fields[lower(line.substr(0, colon))] = value;
            }
        }
        return result::whole;
    }

    /// Reads the body that the head announces. An answer without a length ends with its connection.
    [[nodiscard]] result read_body(message& out, bool is_answer, time_point until) {
        if (lower(out.field("transfer-encoding")) == "chunked") {
            return read_chunks(out, until);
        }
        if (out.has("content-length")) {
            const auto length = static_cast<std::size_t>(std::stoull(out.field("content-length")));
            while (buffer_.size() < length) {
                const auto got = more(until);
                if (got != result::whole) {
                    out.body = buffer_;
                    return got == result::ended ? result::broken : got;
                }
            }
            out.body = buffer_.substr(0, length);
            buffer_.erase(0, length);
            return result::whole;
        }
        if (!is_answer || out.status() == 204 || out.status() == 304) {
            return result::whole;
        }
        for (;;) {
            const auto got = more(until);
            out.body += buffer_;
            buffer_.clear();
            if (got != result::whole) {
                return got == result::ended ? result::whole : got;
            }
        }
    }

    /// Reads more bytes into the buffer.
    [[nodiscard]] result more(time_point until) {
        if (!wait_readable(fd_, until)) {
            return result::late;
        }
        char piece[65536];
        const auto n = ::recv(fd_, piece, sizeof piece, 0);
        if (n > 0) {
            buffer_.append(piece, static_cast<std::size_t>(n));
            return result::whole;
        }
        return n == 0 ? result::ended : result::broken;
    }
    [[nodiscard]] const std::string& unread() const { return buffer_; }

private:
    [[nodiscard]] result read_chunks(message& out, time_point until) {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                const auto got = more(until);
                if (got != result::whole) {
                    return got == result::ended ? result::broken : got;
                }
            }
            const auto size = std::stoull(buffer_.substr(0, end), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                const auto got = more(until);
                if (got != result::whole) {
                    return got == result::ended ? result::broken : got;
                }
            }
            out.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return result::whole;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline std::string answer_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs a function for each on a thread of its own.
class acceptor {
public:
    acceptor(std::function<void(int fd)> serve, int receive_buffer = 0, int port = 0)
        : serve_(std::move(serve)), port_(port) {
        fd_ = listen_on(port_, receive_buffer);
        thread_ = std::thread([this] { run(); });
    }
    ~acceptor() { stop(); }
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] bool is_listening() const { return fd_ >= 0; }

    void stop() {
        if (stopping_.exchange(true)) {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(5), [this] { return running_ == 0; });
    }

private:
    void run() {
        while (!stopping_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopping_) {
                    return;
                }
                sleep_ms(5);
                continue;
            }
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
                ++running_;
            }
            std::thread([this, fd] {
                serve_(fd);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
                ::close(fd);
                --running_;
                changed_.notify_all();
            }).detach();
        }
    }

    std::function<void(int)> serve_;
    int port_;
    int fd_{-1};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> open_;
    int running_{0};
};

// --- the platform's store ---

inline std::string base64(const std::string& text) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits =
                bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : digits[bits >> (18U - 6U * k) & 63U];
        }
    }
    return out;
}

/// Key-value store with the reading calls of PROTOCOL.md. Keys must need no escapes in JSON.
class store {
public:
    store() : acceptor_([this](int fd) { serve(fd); }) {}

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        auto& it = items_[key];
        ++revision_;
        it = {base64(value), revision_, it.created != 0 ? it.created : revision_};
        removed_.erase(key);
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        removed_[key] = ++revision_;
        changed_.notify_all();
    }
    [[nodiscard]] int port() const { return acceptor_.port(); }

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
    };

    static std::string query_value(const std::string& target, const std::string& name) {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    void serve(int fd) {
        reader in(fd);
        message request;
        while (in.read_head(request, clock_type::now() + std::chrono::seconds(60)) ==
               reader::result::whole) {
            if (!send_all(fd, answer(request.target()))) {
                return;
            }
        }
    }

    std::string answer(const std::string& target) {
        const std::string json = "Content-Type: application/json\r\nStore-Era: 1\r\n";
        std::unique_lock lock(mutex_);
        if (target.rfind("/v1/kv-range", 0) == 0) {
            return answer_text(200, json, list("items", 0));
        }
        if (target.rfind("/v1/kv-watch", 0) == 0) {
            const auto after = std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
            const auto wait = std::atoi(query_value(target, "wait_ms").c_str());
            changed_.wait_for(lock, milliseconds(wait), [&] { return revision_ > after; });
            return answer_text(200, json, list("events", after));
        }
        return answer_text(404, json, "{}");
    }

    std::string list(const char* name, std::uint64_t after) const {
        std::map<std::uint64_t, std::string> sorted;
        for (const auto& [key, it] : items_) {
            if (it.revision > after) {
                sorted[it.revision] = "{\"key\":\"" + key + "\",\"value\":\"" + it.value +
                                      "\",\"revision\":" + std::to_string(it.revision) +
                                      ",\"created_at\":" + std::to_string(it.created) +
                                      ",\"lease\":0}";
            }
        }
        for (const auto& [key, revision] : removed_) {
            if (after > 0 && revision > after) {
                sorted[revision] = "{\"key\":\"" + key +
                                   "\",\"revision\":" + std::to_string(revision) +
                                   ",\"deleted\":true}";
            }
        }
        std::string all;
        for (const auto& [revision, text] : sorted) {
            all += (all.empty() ? "" : ",") + text;
        }
        return std::string("{\"") + name + "\":[" + all +
               "],\"has_more\":false,\"at\":" + std::to_string(revision_) + "}";
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::string, std::uint64_t> removed_;
    std::uint64_t revision_{100};
    acceptor acceptor_;
};

/// Entry of an endpoint in the store.
inline std::string endpoint_entry(const std::string& service, int port, int capacity,
                                  std::uint64_t born_ms, const std::string& state = "ready",
                                  int sequence = 4) {
    return "{\"address\":\"127.0.0.1:" + std::to_string(port) +
           "\",\"born\":" + std::to_string(born_ms) + ",\"info\":{\"service\":\"" + service +
           "\",\"version\":\"v1\",\"zone\":\"glas-a\",\"capacity\":" + std::to_string(capacity) +
           "},\"status\":{\"state\":\"" + state + "\",\"sequence\":" + std::to_string(sequence) +
           ",\"cold_left_s\":0.0}}";
}

inline std::uint64_t wall_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

// --- nodes ---

inline std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

inline void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Nodes of the system, each a process that is started as deploy/system.toml says, with settings
/// made from the template there.
class fleet {
public:
    /// \param seeds indices of the nodes whose control addresses stand in the settings
    fleet(int n, int store_port, const std::vector<int>& seeds) {
        char name[] = "/tmp/review-3-XXXXXX";
        folder_ = ::mkdtemp(name);
        const auto ports = free_ports(3 * n);
        for (int i = 0; i < n; ++i) {
            nodes_.push_back({ports[3 * i], ports[3 * i + 1], ports[3 * i + 2],
                              folder_ + "/node-" + std::to_string(i) + ".json", -1});
        }
        std::string seed_list;
        for (const int i : seeds) {
            seed_list += (seed_list.empty() ? "" : ",") + std::string("\"127.0.0.1:") +
                         std::to_string(nodes_.at(static_cast<std::size_t>(i)).control) + "\"";
        }
        for (auto& it : nodes_) {
            auto text = read_file("deploy/settings.json.template");
            replace_all(text, "{{zone}}", "glas-a");
            replace_all(text, "{{listen.front}}", "127.0.0.1:" + std::to_string(it.front));
            replace_all(text, "{{listen.ready}}", "127.0.0.1:" + std::to_string(it.ready));
            replace_all(text, "{{listen.control}}", "127.0.0.1:" + std::to_string(it.control));
            replace_all(text, "{{platform.address}}", "127.0.0.1:" + std::to_string(store_port));
            replace_all(text, "{{seeds|json}}", "[" + seed_list + "]");
            replace_all(text, "{{bounds.grace_s}}", "6");
            std::ofstream(it.settings) << text;
        }
    }
    ~fleet() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            kill(static_cast<int>(i), SIGKILL);
        }
        for (const auto& it : nodes_) {
            ::unlink(it.settings.c_str());
            ::unlink((it.settings + ".log").c_str());
        }
        ::rmdir(folder_.c_str());
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start(int i) {
        auto& it = nodes_.at(static_cast<std::size_t>(i));
        const auto log = it.settings + ".log";
        it.process = ::fork();
        if (it.process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/wigeonrilld", "wigeonrilld", "--settings", it.settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    /// Starts all nodes and waits until they are ready.
    [[nodiscard]] bool start_all() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            start(static_cast<int>(i));
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!wait_ready(static_cast<int>(i), 15'000)) {
                return false;
            }
        }
        return true;
    }
    [[nodiscard]] bool is_ready(int i) const {
        const int fd = connect_to(nodes_.at(static_cast<std::size_t>(i)).ready);
        if (fd < 0) {
            return false;
        }
        message answer;
        const auto until = clock_type::now() + milliseconds(900);
        const bool is_ok =
            send_all(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") &&
            reader(fd).read_head(answer, until) == reader::result::whole && answer.status() == 200;
        ::close(fd);
        return is_ok;
    }
    [[nodiscard]] bool wait_ready(int i, int ms) const {
        const auto until = clock_type::now() + milliseconds(ms);
        while (clock_type::now() < until) {
            if (is_ready(i)) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }
    /// Sends a signal; waits for the end of the process after SIGKILL.
    void kill(int i, int signal) {
        auto& it = nodes_.at(static_cast<std::size_t>(i));
        if (it.process <= 0) {
            return;
        }
        ::kill(it.process, signal);
        if (signal == SIGKILL) {
            ::waitpid(it.process, nullptr, 0);
            it.process = -1;
        }
    }
    /// \returns the wait status once the process has ended by itself
    [[nodiscard]] std::optional<int> ended(int i) {
        auto& it = nodes_.at(static_cast<std::size_t>(i));
        int status = 0;
        if (it.process > 0 && ::waitpid(it.process, &status, WNOHANG) == it.process) {
            it.process = -1;
            return status;
        }
        return std::nullopt;
    }
    [[nodiscard]] int front(int i) const { return nodes_.at(static_cast<std::size_t>(i)).front; }
    [[nodiscard]] pid_t process(int i) const {
        return nodes_.at(static_cast<std::size_t>(i)).process;
    }
    [[nodiscard]] std::string log(int i) const {
        return read_file(nodes_.at(static_cast<std::size_t>(i)).settings + ".log");
    }
    [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }

private:
    struct node {
        int front{0};
        int ready{0};
        int control{0};
        std::string settings;
        pid_t process{-1};
    };
    std::string folder_;
    std::vector<node> nodes_;
};

// --- clients ---

struct client_result {
    reader::result how{reader::result::broken};
    message answer;
    double sent_s{0.0};
    double ended_s{0.0};
};

inline std::string result_text(const client_result& it) {
    switch (it.how) {
    case reader::result::whole:
        return std::to_string(it.answer.status());
    case reader::result::late:
        return "no answer";
    case reader::result::ended:
        return "connection closed";
    case reader::result::broken:
        return "connection broken";
    }
    return "";
}

struct client_request {
    std::string method{"GET"};
    std::string host{"h.example"};
    std::string path;
    std::string id;
    int deadline_ms{5'000};
    std::shared_ptr<const std::string> body; ///< null: none
    std::string fields;                      ///< further header fields, each with its line end
};

inline std::string request_head(const client_request& it) {
    return it.method + " " + it.path + " HTTP/1.1\r\nHost: " + it.host +
           "\r\nX-Wigeonrill-Request-Id: " + it.id +
           "\r\nX-Wigeonrill-Deadline-Ms: " + std::to_string(it.deadline_ms) + "\r\n" + it.fields +
           (it.method == "GET"
                ? ""
                : "Content-Length: " + std::to_string(it.body ? it.body->size() : 0) + "\r\n") +
           "\r\n";
}

/// Sends a request on a connection and reads its answer until the deadline of the client.
inline client_result call_on(int fd, reader& in, const client_request& request) {
    client_result result;
    result.sent_s = seconds_since_start();
    const auto until = clock_type::now() + milliseconds(request.deadline_ms);
    // A thread sends, so that an answer that comes before the whole body was sent is seen.
    std::thread sender([&] {
        if (send_all(fd, request_head(request)) && request.body) {
            send_all(fd, *request.body);
        }
    });
    result.how = in.read_head(result.answer, until);
    if (result.how == reader::result::whole) {
        result.how = in.read_body(result.answer, true, until);
    }
    result.ended_s = seconds_since_start();
    ::shutdown(fd, SHUT_WR); // ends the sender if it is blocked
    if (result.how != reader::result::whole) {
        ::shutdown(fd, SHUT_RDWR);
    }
    sender.join();
    return result;
}

/// Sends one request on a connection of its own.
inline client_result call(int port, const client_request& request) {
    const int fd = connect_to(port);
    if (fd < 0) {
        client_result result;
        result.sent_s = result.ended_s = seconds_since_start();
        return result;
    }
    reader in(fd);
    auto result = call_on(fd, in, request);
    ::close(fd);
    return result;
}

} // namespace site

#endif
