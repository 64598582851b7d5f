#include "wigeonrill/tool.h"

#include "commands.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>

namespace wigeonrill::tool {

namespace {

// Keeps the daemon's order of keys, which is the order of the columns.
using json = nlohmann::ordered_json;

std::string cell(const json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_float()) {
        std::array<char, 32> buf{};
        const auto n = std::snprintf(buf.data(), buf.size(), "%.2f", value.get<double>());
        return {buf.data(), static_cast<std::size_t>(n)};
    }
    return value.is_null() ? "-" : value.dump();
}

json parse_page(const std::string& text) {
    return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Columns of a table: the union of the keys of all rows, in order of appearance.
std::vector<std::string> columns_of(const std::vector<json>& rows) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

std::string format_rows(const std::vector<json>& rows) {
    const auto columns = columns_of(rows);
    if (columns.empty()) {
        return "nothing to show\n";
    }
    text_table table(columns);
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto& column : columns) {
            cells.push_back(row.contains(column) ? cell(row.at(column)) : "-");
        }
        table.add_row(std::move(cells));
    }
    return table.text();
}

// A page is an object (one row per node) or an array (one row per element).
std::vector<json> rows_of(const json& page) {
    if (page.is_array()) {
        return {page.begin(), page.end()};
    }
    return {page};
}

struct fetched_page {
    endpoint node;
    json content;
};

exit_code fetch_all(const std::vector<endpoint>& nodes,
                    const std::function<result<std::string>(const admin_client&)>& call,
                    std::vector<fetched_page>& pages) {
    auto code = exit_code::success;
    for (const auto& node : nodes) {
        const auto text = call(admin_client(node));
        if (!text) {
            std::cerr << "wigeonrill: " << to_string(text.error()) << '\n';
            const bool refused = text.error().kind == error_kind::conflict;
            code = refused && code == exit_code::success ? exit_code::negative
                                                         : exit_code::unreachable;
            continue;
        }
        pages.push_back({node, parse_page(*text)});
    }
    return code;
}

void print_json(const std::vector<fetched_page>& pages) {
    json all = json::object();
    for (const auto& it : pages) {
        all[to_string(it.node)] = it.content;
    }
    std::cout << all.dump(2) << '\n';
}

void print_tables(const std::vector<fetched_page>& pages) {
    std::vector<json> rows;
    for (const auto& page : pages) {
        for (auto& row : rows_of(page.content)) {
            json line = json::object({{"node", to_string(page.node)}});
            line.update(row);
            rows.push_back(std::move(line));
        }
    }
    std::cout << format_rows(rows);
}

exit_code show(const std::vector<endpoint>& nodes,
               const std::function<result<std::string>(const admin_client&)>& call, bool as_json) {
    std::vector<fetched_page> pages;
    const auto code = fetch_all(nodes, call, pages);
    if (as_json) {
        print_json(pages);
    } else if (!pages.empty()) {
        print_tables(pages);
    }
    return code;
}

void print_explanation(const json& page) {
    std::cout << "route: " << cell(page.value("route", json()))
              << "\nservice: " << cell(page.value("service", json()))
              << "\nrepeat: " << cell(page.value("repeat", json())) << "\n\n"
              << format_rows(rows_of(page.value("targets", json::array())));
}

} // namespace

exit_code show_page(const std::string& page, const std::vector<endpoint>& nodes, bool json) {
    return show(
        nodes, [&](const admin_client& client) { return client.get("/" + page); }, json);
}

exit_code drain_nodes(const std::vector<endpoint>& nodes, bool json) {
    return show(
        nodes, [](const admin_client& client) { return client.post("/drain"); }, json);
}

exit_code explain_request(const std::vector<endpoint>& nodes, const std::string& method,
                          const std::string& host, const std::string& path, bool json) {
    Poco::URI uri("/explain");
    uri.addQueryParameter("method", method);
    uri.addQueryParameter("host", host);
    uri.addQueryParameter("path", path);
    std::vector<fetched_page> pages;
    const auto code = fetch_all(
        nodes, [&](const admin_client& client) { return client.get(uri.toString()); }, pages);
    if (json) {
        print_json(pages);
        return code;
    }
    for (const auto& it : pages) {
        std::cout << "node: " << to_string(it.node) << '\n';
        print_explanation(it.content);
    }
    return code;
}

} // namespace wigeonrill::tool
