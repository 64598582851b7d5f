#include "wigeonrill/tool.h"

#include "commands.h"
#include "log_record.h"
#include "trace_collector.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

namespace wigeonrill::tool {

namespace {

constexpr const char* standard_input = "-";

/// Log of one or more nodes.
struct log_source {
    std::string name;
    std::unique_ptr<std::istream> text;
};

/// Lines of the logs that could not be read, and of all.
struct line_counts {
    std::size_t unreadable{0};
    std::size_t all{0};
};

// The name of the node is the last word that a log collector wrote before the time, or else the
// file's name.
std::string node_of(const log_record& record, const std::string& file) {
    const auto at = record.origin.find_last_of(" \t");
    const auto word = at == std::string::npos ? record.origin : record.origin.substr(at + 1);
    return word.empty() ? file : word;
}

using record_consumer = std::function<void(const std::string& node, const log_record&)>;

line_counts read_all(const std::vector<log_source>& sources, const record_consumer& consume) {
    line_counts counts;
    for (const auto& it : sources) {
        it.text->clear();
        it.text->seekg(0);
        for (std::string text; std::getline(*it.text, text); ++counts.all) {
            if (const auto record = parse_log_line(text)) {
                consume(node_of(*record, it.name), *record);
            } else {
                ++counts.unreadable;
            }
        }
    }
    return counts;
}

// Standard input is kept in memory, because the logs are read twice.
std::unique_ptr<std::istream> open_log(const std::string& path) {
    if (path == standard_input) {
        auto copy = std::make_unique<std::stringstream>();
        *copy << std::cin.rdbuf();
        return copy;
    }
    auto file = std::make_unique<std::ifstream>(path);
    return *file ? std::move(file) : nullptr;
}

void print_text(const std::vector<trace_collector::line>& lines) {
    for (const auto& it : lines) {
        std::cout << format_log_time(it.record.when) << (it.is_context ? "   " : " * ") << it.node
                  << ' ' << it.record.level << ' ' << it.record.text << '\n';
    }
}

void print_json(const std::vector<trace_collector::line>& lines, const line_counts& counts) {
    nlohmann::ordered_json all{{"lines", nlohmann::ordered_json::array()},
                               {"lines_read", counts.all},
                               {"lines_unreadable", counts.unreadable}};
    for (const auto& it : lines) {
        all["lines"].push_back({{"time", format_log_time(it.record.when)},
                                {"node", it.node},
                                {"level", it.record.level},
                                {"about", it.is_context ? "context" : "request"},
                                {"text", it.record.text}});
    }
    // Bytes of damaged lines need not be UTF-8.
    std::cout << all.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n';
}

} // namespace

exit_code trace_request(const std::string& request_id, const std::vector<std::string>& files,
                        bool json) {
    std::vector<log_source> sources;
    for (const auto& path : files) {
        sources.push_back({path, open_log(path)});
        if (!sources.back().text) {
            std::cerr << "wigeonrill: can't read " << path << "; check the path\n";
            return exit_code::negative_result;
        }
    }
    trace_collector collector(request_id);
    const auto counts = read_all(sources, [&](const std::string& node, const log_record& it) {
        collector.find_request(node, it);
    });
    read_all(sources, [&](const std::string& node, const log_record& it) {
        collector.find_context(node, it);
    });
    const auto lines = collector.lines();
    if (json) {
        print_json(lines, counts);
    } else {
        print_text(lines);
    }
    if (lines.empty()) {
        std::cerr << "wigeonrill: no line about request " << request_id << " in " << counts.all
                  << " lines, " << counts.unreadable
                  << " of them unreadable; give the logs of all nodes of that time\n";
        return exit_code::negative_result;
    }
    return exit_code::success;
}

} // namespace wigeonrill::tool
