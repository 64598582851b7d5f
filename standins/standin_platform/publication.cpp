#include "publication.h"

#include <algorithm>
#include <limits>

namespace standin_platform {

using namespace wigeonrill;

namespace {

// Versions kept for the fault that serves an older one.
constexpr std::size_t max_versions = 16;
constexpr std::uint64_t max_file_bytes = 256ULL * 1024 * 1024;

// Reads the new faults from a control request. A key that is absent leaves its fault unchanged.
faults read_faults(config::checked_object& root, faults next) {
    const std::string state = root.text("state", next.down ? "down" : "up");
    if (state != "up" && state != "down") {
        root.fail("state", "\"" + state + "\" is not a state", "use \"up\" or \"down\"");
    }
    next.down = state == "down";
    next.version =
        root.number("version", 0, std::numeric_limits<std::int64_t>::max(), next.version);
    next.invalid = root.choice("invalid", invalid_value_names, std::optional(next.invalid));
    next.lag = root.duration("lag", milliseconds{0}, seconds{60}, next.lag);
    next.cut = root.has("cut") ? root.texts("cut") : next.cut;
    return next;
}

} // namespace

result<void> publication::reload() {
    const auto text = config::read_file(path_, max_file_bytes);
    if (!text) {
        return tl::unexpected(text.error());
    }
    const std::lock_guard lock(mutex_);
    const auto* previous = versions_.empty() ? nullptr : &versions_.back();
    auto next = config::split_document(*text, path_, previous);
    if (!next) {
        return tl::unexpected(next.error());
    }
    // A new version number with the same content is published too, because operators roll back by
    // publishing an earlier content again.
    if (previous != nullptr && previous->digest == next->digest &&
        previous->version == next->version) {
        return {};
    }
    for (const auto& it : next->changed) {
        shards_[platform::shard_key({it.name, it.version, it.digest})] = it.content;
    }
    versions_.push_back(std::move(*next));
    if (versions_.size() > max_versions) {
        versions_.erase(versions_.begin());
    }
    ++index_;
    changed_.notify_all();
    return {};
}

result<void> publication::control(const std::string& text) {
    const auto document = config::json_document::parse(text, "control");
    if (!document) {
        return tl::unexpected(document.error());
    }
    config::parse_context context{"control", std::nullopt};
    config::checked_object root(document->root(), "", context);
    const bool reload_file = root.flag("reload", false);
    const bool reset = root.flag("reset_counts", false);
    std::unique_lock lock(mutex_);
    auto next = read_faults(root, faults_);
    root.reject_unread_keys();
    if (context.first_error) {
        return tl::unexpected(*context.first_error);
    }
    if (reset) {
        counts_ = {0, 0, 0, counts_.waiting};
    }
    set_faults(std::move(next));
    lock.unlock();
    return reload_file ? reload() : result<void>{};
}

// A fault that changes the served values increases the index like a new version does, so that
// waiting watches end.
void publication::set_faults(faults next) {
    const bool values_changed = next.version != faults_.version || next.invalid != faults_.invalid;
    index_ += values_changed ? 1 : 0;
    faults_ = std::move(next);
    changed_.notify_all();
}

std::string publication::manifest() const {
    const auto chosen = std::ranges::find(versions_, faults_.version, &config::change_set::version);
    auto text = platform::write_manifest(chosen != versions_.end() ? *chosen : versions_.back());
    return faults_.invalid == invalid_value::manifest ? text.substr(0, text.size() / 2) : text;
}

bool publication::is_cut(const std::string& key) const {
    return std::ranges::any_of(faults_.cut, [&key](const std::string& prefix) {
        return key.rfind("shard/" + prefix, 0) == 0;
    });
}

publication::value publication::find(const std::string& key) {
    const auto refuse = [this](error_kind kind, const std::string& what) {
        ++counts_.refused;
        return failed(kind, what,
                      "none needed; a simulated fault is active or the value does not exist");
    };
    if (faults_.down || versions_.empty()) {
        return refuse(error_kind::unavailable, "down");
    }
    if (key == platform::manifest_key) {
        return std::optional(platform::stored_value{manifest(), index_});
    }
    const auto found = shards_.find(key);
    if (found == shards_.end() || is_cut(key)) {
        return refuse(error_kind::not_found, "no value under " + key);
    }
    const std::string corrupt_suffix = faults_.invalid == invalid_value::shard ? " " : "";
    return std::optional(platform::stored_value{found->second + corrupt_suffix, index_});
}

void publication::wait_for_lag(std::unique_lock<std::mutex>& lock) {
    const auto lag = faults_.lag;
    changed_.wait_for(lock, lag, [this] { return stopping_; });
}

publication::value publication::get(const std::string& key) {
    std::unique_lock lock(mutex_);
    ++counts_.get;
    wait_for_lag(lock);
    return find(key);
}

publication::value publication::watch(const std::string& key, std::uint64_t after,
                                      milliseconds wait) {
    std::unique_lock lock(mutex_);
    ++counts_.watch;
    wait_for_lag(lock);
    ++counts_.waiting;
    const bool changed =
        changed_.wait_for(lock, wait, [&] { return stopping_ || faults_.down || index_ != after; });
    --counts_.waiting;
    if (!changed) {
        return std::optional<platform::stored_value>{};
    }
    return find(key);
}

std::string publication::counts() const {
    const std::lock_guard lock(mutex_);
    const auto json_member = [](const char* name, std::uint64_t n) {
        return std::string("\"") + name + "\":" + std::to_string(n);
    };
    return "{" + json_member("calls", counts_.get + counts_.watch) + "," +
           json_member("get", counts_.get) + "," + json_member("watch", counts_.watch) + "," +
           json_member("refused", counts_.refused) + "," + json_member("waiting", counts_.waiting) +
           "," + json_member("index", index_) + "}";
}

void publication::stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

} // namespace standin_platform
