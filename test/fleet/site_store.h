#ifndef WIGEONRILL_TEST_SITE_STORE_H
#define WIGEONRILL_TEST_SITE_STORE_H

#include "test/base64.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fleet_test {

namespace net = Poco::Net;
using nlohmann::json;

/// \brief Sends a whole answer with a length.
inline void send_text(net::HTTPServerResponse& response, int status, const std::string& body) {
    response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(status));
    response.setContentLength64(static_cast<std::int64_t>(body.size()));
    response.send() << body;
}

/// \brief Key-value store that answers list and watch calls from records with revisions.
class store {
public:
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        items_[key] = {wigeonrill::test::base64(value), ++revision_, false};
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        items_[key] = {"", ++revision_, true};
        changed_.notify_all();
    }
    void compact() {
        const std::lock_guard lock(mutex_);
        compacted_revision_ = revision_;
    }
    void set_down(bool down) {
        const std::lock_guard lock(mutex_);
        down_ = down;
        changed_.notify_all();
    }
    void save_copy() {
        const std::lock_guard lock(mutex_);
        saved_items_ = items_;
        saved_revision_ = revision_;
    }
    void restore_copy() {
        const std::lock_guard lock(mutex_);
        items_ = saved_items_;
        revision_ = saved_revision_;
        ++era_;
        changed_.notify_all();
    }
    void answer(net::HTTPServerRequest& request, net::HTTPServerResponse& response) {
        std::map<std::string, std::string> query;
        const Poco::URI uri(request.getURI());
        for (const auto& [name, value] : uri.getQueryParameters()) {
            query[name] = value;
        }
        std::unique_lock lock(mutex_);
        if (uri.getPath() == "/v1/kv-watch" && !down_) {
            watch(query, response, lock);
        } else if (uri.getPath() == "/v1/kv-range" && !down_) {
            send(response, 200, list_records("items", 0, false));
        } else {
            send(response, down_ ? 503 : 404, "{}");
        }
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        bool deleted{false};
    };

    void watch(std::map<std::string, std::string>& query, net::HTTPServerResponse& response,
               std::unique_lock<std::mutex>& lock) {
        const auto after = std::stoull(query["after"]);
        const auto era = era_;
        changed_.wait_for(lock, std::chrono::milliseconds(std::stoi(query["wait_ms"])),
                          [&] { return down_ || era_ != era || revision_ > after; });
        const bool has_history = after >= compacted_revision_ && after <= revision_;
        if (down_ || !has_history) {
            send(response, down_ ? 503 : 410, "{}");
        } else {
            send(response, 200, list_records("events", after, true));
        }
    }

    void send(net::HTTPServerResponse& response, int status, const std::string& body) const {
        response.set("Store-Era", std::to_string(era_));
        send_text(response, status, body);
    }

    std::string list_records(const char* list, std::uint64_t after, bool with_deleted) const {
        json document{{list, json::array()}, {"has_more", false}, {"at", revision_}};
        for (const auto& [key, it] : items_) {
            if (it.revision > after && it.deleted && with_deleted) {
                document[list].push_back(
                    {{"key", key}, {"revision", it.revision}, {"deleted", true}});
            } else if (it.revision > after && !it.deleted) {
                document[list].push_back(
                    {{"key", key}, {"value", it.value}, {"revision", it.revision}});
            }
        }
        return document.dump();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_{100};
    std::uint64_t compacted_revision_{0};
    std::map<std::string, item> saved_items_;
    std::uint64_t saved_revision_{0};
    std::uint64_t era_{1}; ///< raised by each restored copy
    bool down_{false};
};

} // namespace fleet_test

#endif
