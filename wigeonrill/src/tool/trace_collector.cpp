#include "wigeonrill/tool.h"

#include "log_record.h"
#include "trace_collector.h"

#include <algorithm>

namespace wigeonrill::tool {

void trace_collector::find_request(const std::string& node, const log_record& record) {
    if (record.field("id") != request_id_) {
        return;
    }
    const auto [it, inserted] = spans_.try_emplace(node, span{record.when, record.when, {}});
    it->second.first = std::min(it->second.first, record.when);
    it->second.last = std::max(it->second.last, record.when);
    if (auto target = record.field("target")) {
        it->second.targets.insert(std::move(*target));
    }
    lines_.push_back({node, record, false});
}

void trace_collector::find_context(const std::string& node, const log_record& record) {
    const auto it = spans_.find(node);
    if (it == spans_.end() || record.field("id")) {
        return;
    }
    const auto& about = it->second;
    const bool is_near =
        record.when >= about.first - context_before && record.when <= about.last + context_after;
    const bool is_during = record.when >= about.first && record.when <= about.last;
    const bool names_target = std::ranges::any_of(
        about.targets, [&record](const std::string& target) { return record.mentions(target); });
    const bool is_new_version =
        record.text.starts_with("config: ") && record.field("result") == "accepted";
    if ((is_near && names_target) || (is_during && is_new_version)) {
        lines_.push_back({node, record, true});
    }
}

std::vector<trace_collector::line> trace_collector::lines() const {
    auto sorted = lines_;
    std::ranges::stable_sort(sorted, {}, [](const line& it) { return it.record.when; });
    return sorted;
}

} // namespace wigeonrill::tool
