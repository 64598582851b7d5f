#include "generated_document.h"

#include <algorithm>

namespace config_apply {

namespace {

std::string to_text(std::size_t n) {
    return std::to_string(n);
}

std::string address(std::size_t i) {
    return "10." + to_text(i >> 16U & 255U) + "." + to_text(i >> 8U & 255U) + "." +
           to_text(i & 255U) + ":8080";
}

// Calls write(0) to write(count - 1) and joins the texts with commas.
template <typename Write>
std::string join(std::size_t count, Write write) {
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += (i > 0 ? ",\n" : "") + write(i);
    }
    return all;
}

std::string services(const document_size& size, bool changed) {
    const auto count = services_for(size.targets);
    return join(count, [&](std::size_t service_index) {
        const auto members =
            join((size.targets - service_index + count - 1) / count, [&](std::size_t target_index) {
                const auto i = target_index * count + service_index;
                const char* slots = changed && i == 0 ? "7" : "6";
                return "\"target-" + to_text(i) + R"(": {"address": ")" + address(i) +
                       R"(", "domain": "region-)" + to_text(i % 9) + R"(", "slots": )" + slots +
                       R"(, "cold_start": "20s"})";
            });
        return "\"service-" + to_text(service_index) +
               R"(": {"floor_slots": 1, "weight": "detection", "targets": {)" + members + "}}";
    });
}

std::string routes(const document_size& size, bool changed) {
    const auto count = services_for(size.targets);
    return join(size.routes, [&](std::size_t i) {
        const char* total = changed && i == 0 ? "29s" : "30s";
        return "\"route-" + to_text(i) + R"(": {"service": "service-)" + to_text(i % count) +
               R"(", "host": "shop-)" + to_text(i / 10) +
               R"(.example", "methods": ["GET"], "path_prefix": "/orders/)" + to_text(i % 10) +
               R"(", "repeat": "idempotent", "limits": {"total": ")" + total + "\"}}";
    });
}

std::string workspaces(const document_size& size, bool changed) {
    return join(size.workspaces, [&](std::size_t i) {
        const char* rate = changed && i == 0 ? "11" : "10";
        return "\"workspace-" + to_text(i) + R"(": {"requests_per_second": )" + rate + "}";
    });
}

} // namespace

std::size_t services_for(std::size_t targets) {
    return std::max<std::size_t>(1, targets * 770 / 42'000);
}

std::string write_document(const document_size& size, int version, changed_record changed) {
    const bool is_second_version = version == 2;
    return R"({"format": 1, "version": )" + std::to_string(version) +
           R"(, "published": "2026-03-01T08:30:00Z", "services": {)" +
           services(size, is_second_version && changed == changed_record::target) +
           "}, \"routes\": {" +
           routes(size, is_second_version && changed == changed_record::route) +
           "}, \"workspaces\": {" +
           workspaces(size, is_second_version && changed == changed_record::workspace) + "}}";
}

} // namespace config_apply
