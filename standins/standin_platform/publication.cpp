#include "publication.h"

#include <algorithm>
#include <limits>

namespace standin_platform {

using namespace wigeonrill;

namespace {

constexpr std::size_t most_versions = 16;
constexpr std::uint64_t largest_file = 256ULL * 1024 * 1024;

// Reads the new faults from a control request; keys that are absent keep their value.
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
    const auto text = config::read_file(path_, largest_file);
    if (!text) {
        return tl::unexpected(text.error());
    }
    const std::lock_guard lock(mutex_);
    const auto* previous = versions_.empty() ? nullptr : &versions_.back();
    auto next = config::split_document(*text, path_, previous);
    if (!next) {
        return tl::unexpected(next.error());
    }
    // A new version with the same content is published as well: operators republish to roll back.
    if (previous != nullptr && previous->digest == next->digest &&
        previous->version == next->version) {
        return {};
    }
    for (const auto& it : next->changed) {
        shards_[platform::shard_key({it.name, it.version, it.digest})] = it.content;
    }
    versions_.push_back(std::move(*next));
    if (versions_.size() > most_versions) {
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
    config::reading_context context{"control", std::nullopt};
    config::checked_object root(document->root(), "", context);
    const bool reload_file = root.flag("reload", false);
    const bool reset = root.flag("reset_counts", false);
    std::unique_lock lock(mutex_);
    auto next = read_faults(root, faults_);
    root.finish();
    if (context.failure) {
        return tl::unexpected(*context.failure);
    }
    if (reset) {
        counts_ = {0, 0, 0, counts_.waiting};
    }
    set(std::move(next));
    lock.unlock();
    return reload_file ? reload() : result<void>{};
}

// A change of what the manifest says is a change of the value, so that watches end.
void publication::set(faults next) {
    const bool other = next.version != faults_.version || next.invalid != faults_.invalid;
    index_ += other ? 1 : 0;
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
        return failed(kind, what, "none needed; the stand-in was told so or has no such value");
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
    const std::string damage = faults_.invalid == invalid_value::shard ? " " : "";
    return std::optional(platform::stored_value{found->second + damage, index_});
}

void publication::delay(std::unique_lock<std::mutex>& lock) {
    const auto lag = faults_.lag;
    changed_.wait_for(lock, lag, [this] { return stopping_; });
}

publication::value publication::get(const std::string& key) {
    std::unique_lock lock(mutex_);
    ++counts_.get;
    delay(lock);
    return find(key);
}

publication::value publication::watch(const std::string& key, std::uint64_t after,
                                      milliseconds wait) {
    std::unique_lock lock(mutex_);
    ++counts_.watch;
    delay(lock);
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
    const auto number = [](const char* name, std::uint64_t n) {
        return std::string("\"") + name + "\":" + std::to_string(n);
    };
    return "{" + number("calls", counts_.get + counts_.watch) + "," + number("get", counts_.get) +
           "," + number("watch", counts_.watch) + "," + number("refused", counts_.refused) + "," +
           number("waiting", counts_.waiting) + "," + number("index", index_) + "}";
}

void publication::stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

} // namespace standin_platform
