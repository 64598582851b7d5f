#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

routing::view_ptr build_view(const config::snapshot_ptr& configuration,
                             const health::monitor& monitor) {
    auto built = std::make_shared<routing::view>();
    built->configuration = configuration;
    built->services.reserve(configuration->services.size());
    for (const auto& service : configuration->services) {
        routing::service_view entry;
        entry.service = &service;
        for (const auto& it : monitor.plan(service.name).usable) {
            entry.eligible.push_back({&service.targets[it.index], it.weight, it.index});
        }
        built->services.push_back(std::move(entry));
    }
    return built;
}

std::vector<target_row> list_targets(const config::snapshot& configuration,
                                     const health::monitor& monitor) {
    std::vector<target_row> rows;
    for (const auto& service : configuration.services) {
        const auto first = rows.size();
        for (const auto& target : service.targets) {
            target_row row;
            row.target = target;
            row.service = service.name;
            row.status = monitor.status(service.name, target.id);
            rows.push_back(std::move(row));
        }
        for (const auto& it : monitor.plan(service.name).usable) {
            auto& row = rows[first + it.index];
            row.eligible = true;
            row.kept_for_floor = it.kept_for_floor;
            row.weight = it.weight;
        }
    }
    return rows;
}

} // namespace wigeonrill::daemon
