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
    root.reject_unread_keys();
}

// The content of a shard of VMs is a list without a key, but parse_vms() expects it under "vms".
void read_vms(const nlohmann::json& list, parse_context& context, shard_records& into) {
    const nlohmann::json wrapped_list{{"vms", list}};
    checked_object root(wrapped_list, "", context);
    parse_vms(root, into.vms);
}

void add_registrations(const shard& from, service& into) {
    for (auto& it : into.targets) {
        const auto found =
            std::ranges::lower_bound(from.registrations, it.id, {}, &registered_target::target);
        if (found != from.registrations.end() && found->target == it.id) {
            it.registered = found->registered;
        }
    }
}

void mark_section(shard_records& records, section read) {
    records.sections |= static_cast<unsigned>(read);
}

// Parses the content of a shard according to its section, which is the part of the shard's name
// before the slash.
void read_content(const shard& from, const nlohmann::json& content, parse_context& context,
                  shard_records& into) {
    const auto slash = from.name.find('/');
    const auto section_name = from.name.substr(0, slash);
    if (section_name == "vms") {
        mark_section(into, section::vms);
        read_vms(content, context, into);
        return;
    }
    checked_object root(content, section_name == "rules" ? "" : section_name, context);
    if (section_name == "rules") {
        mark_section(into, section::rules);
        read_rules(root, into);
    } else if (section_name == "service" && slash != std::string::npos) {
        mark_section(into, section::services);
        into.services.push_back(parse_service(from.name.substr(slash + 1), root));
        add_registrations(from, into.services.back());
        root.reject_unread_keys();
    } else if (section_name == "routes") {
        mark_section(into, section::routes);
        parse_routes(root, into.routes);
    } else if (section_name == "workspaces") {
        mark_section(into, section::workspaces);
        parse_workspaces(root, into.workspaces);
    } else {
        context.fail("", "format 1 has no section with this name", "publish it in another format");
    }
}

// Returns base without the dropped records and with the added ones. All lists are sorted by key.
// Few records of a long list change, so the unchanged records between two changes are copied as one
// range.
template <typename Record, typename Key>
std::vector<Record> merge_list(const std::vector<Record>& base, const std::vector<Record>& dropped,
                               std::vector<Record>&& added, Key Record::*key) {
    const auto is_before = [key](const Record& left, const Record& right) {
        return left.*key < right.*key;
    };
    std::vector<Record> merged;
    merged.reserve(base.size() + added.size());
    auto from = base.begin();
    auto next_dropped = dropped.begin();
    auto next_added = added.begin();
    while (next_dropped != dropped.end() || next_added != added.end()) {
        const bool remove_next =
            next_added == added.end() ||
            (next_dropped != dropped.end() && !is_before(*next_added, *next_dropped));
        const Record& boundary = remove_next ? *next_dropped : *next_added;
        const auto to = std::lower_bound(from, base.end(), boundary, is_before);
        merged.insert(merged.end(), from, to);
        from = to;
        if (!remove_next) {
            merged.push_back(std::move(*next_added++));
            continue;
        }
        from += from != base.end() && !is_before(*next_dropped, *from) ? 1 : 0;
        ++next_dropped;
    }
    merged.insert(merged.end(), from, base.end());
    return merged;
}

bool contains_section(unsigned sections, section tested) {
    return (sections & static_cast<unsigned>(tested)) != 0;
}

} // namespace

result<void> read_shard(const shard& from, name_rule names, shard_records& into) {
    const auto source = "shard " + from.name;
    const auto document = json_document::parse(from.content, source);
    if (!document) {
        return tl::unexpected(document.error());
    }
    parse_context context{source, std::nullopt};
    context.names = names;
    read_content(from, document->root(), context, into);
    if (context.first_error) {
        return tl::unexpected(*context.first_error);
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
    const auto changed_sections = dropped.sections | added.sections;
    snapshot next;
    const auto& rules = added.rules ? *added.rules : base;
    next.resend_window = rules.resend_window;
    next.owner_lease = rules.owner_lease;
    next.authentication = rules.authentication;
    next.key_owners = rules.key_owners;
    next.services =
        contains_section(changed_sections, section::services)
            ? merge_list(base.services, dropped.services, std::move(added.services), &service::name)
            : base.services;
    next.routes =
        contains_section(changed_sections, section::routes)
            ? merge_list(base.routes, dropped.routes, std::move(added.routes), &route::name)
            : base.routes;
    next.workspaces = base.workspaces;
    if (contains_section(changed_sections, section::workspaces)) {
        next.workspaces = merge_list(base.workspaces.values(), dropped.workspaces,
                                     std::move(added.workspaces), &workspace::name);
    }
    next.vms = contains_section(changed_sections, section::vms)
                   ? merge_list(base.vms, dropped.vms, std::move(added.vms), &vm_record::address)
                   : base.vms;
    return next;
}

} // namespace wigeonrill::config
