#include "wigeonrill/config.h"

#include "wigeonrill/src/config/assembly.h"
#include "wigeonrill/src/config/section_parsers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

namespace {

void read_rules(checked_object& root, shard_records& into) {
    into.rules.emplace();
    parse_rules(root, *into.rules);
    parse_key_owners(root, *into.rules);
    root.finish();
}

// A part of the VM list is a bare list; the parser expects it under its key.
void read_vms(const nlohmann::json& list, reading_context& context, shard_records& into) {
    const nlohmann::json wrapped{{"vms", list}};
    checked_object root(wrapped, "", context);
    parse_vms(root, into.vms);
}

void add_section(shard_records& records, section one) {
    records.sections |= static_cast<unsigned>(one);
}

// Dispatches on the first part of the shard's name.
void read_content(const shard& from, const nlohmann::json& content, reading_context& context,
                  shard_records& into) {
    const auto slash = from.name.find('/');
    const auto kind = from.name.substr(0, slash);
    if (kind == "vms") {
        add_section(into, section::vms);
        read_vms(content, context, into);
        return;
    }
    checked_object root(content, kind == "rules" ? "" : kind, context);
    if (kind == "rules") {
        add_section(into, section::rules);
        read_rules(root, into);
    } else if (kind == "service" && slash != std::string::npos) {
        add_section(into, section::services);
        into.services.push_back(parse_service(from.name.substr(slash + 1), root));
        root.finish();
    } else if (kind == "routes") {
        add_section(into, section::routes);
        parse_routes(root, into.routes);
    } else if (kind == "workspaces") {
        add_section(into, section::workspaces);
        parse_workspaces(root, into.workspaces);
    } else {
        context.fail("", "no section of format 1 has this name", "publish it under another format");
    }
}

// Returns base without the dropped records, together with the added ones, in order. Copies whole
// ranges between them, because few records change in a long list.
template <typename Record, typename Key>
std::vector<Record> merge_list(const std::vector<Record>& base, const std::vector<Record>& dropped,
                               std::vector<Record>&& added, Key Record::*key) {
    const auto before = [key](const Record& left, const Record& right) {
        return left.*key < right.*key;
    };
    std::vector<Record> merged;
    merged.reserve(base.size() + added.size());
    auto from = base.begin();
    auto drop = dropped.begin();
    auto add = added.begin();
    while (drop != dropped.end() || add != added.end()) {
        const bool dropping = add == added.end() || (drop != dropped.end() && !before(*add, *drop));
        const Record& edge = dropping ? *drop : *add;
        const auto to = std::lower_bound(from, base.end(), edge, before);
        merged.insert(merged.end(), from, to);
        from = to;
        if (!dropping) {
            merged.push_back(std::move(*add++));
            continue;
        }
        from += from != base.end() && !before(*drop, *from) ? 1 : 0;
        ++drop;
    }
    merged.insert(merged.end(), from, base.end());
    return merged;
}

bool has(unsigned sections, section one) {
    return (sections & static_cast<unsigned>(one)) != 0;
}

} // namespace

result<void> read_shard(const shard& from, shard_records& into) {
    const auto source = "shard " + from.name;
    const auto document = json_document::parse(from.content, source);
    if (!document) {
        return tl::unexpected(document.error());
    }
    reading_context context{source, std::nullopt};
    read_content(from, document->root(), context, into);
    if (context.failure) {
        return tl::unexpected(*context.failure);
    }
    return {};
}

void sort_records(shard_records& records) {
    std::ranges::sort(records.services, {}, &service::name);
    std::ranges::sort(records.routes, {}, &route::name);
    std::ranges::sort(records.workspaces, {}, &workspace::name);
    std::ranges::sort(records.vms, {}, &vm_record::address);
}

snapshot merge_records(const snapshot& base, const shard_records& dropped, shard_records&& added) {
    const auto touched = dropped.sections | added.sections;
    snapshot next;
    const auto& rules = added.rules ? *added.rules : base;
    next.resend_window = rules.resend_window;
    next.owner_lease = rules.owner_lease;
    next.key_owners = rules.key_owners;
    next.services =
        has(touched, section::services)
            ? merge_list(base.services, dropped.services, std::move(added.services), &service::name)
            : base.services;
    next.routes = has(touched, section::routes) ? merge_list(base.routes, dropped.routes,
                                                             std::move(added.routes), &route::name)
                                                : base.routes;
    next.workspaces = base.workspaces;
    if (has(touched, section::workspaces)) {
        next.workspaces = merge_list(base.workspaces.values(), dropped.workspaces,
                                     std::move(added.workspaces), &workspace::name);
    }
    next.vms = has(touched, section::vms)
                   ? merge_list(base.vms, dropped.vms, std::move(added.vms), &vm_record::address)
                   : base.vms;
    return next;
}

} // namespace wigeonrill::config
