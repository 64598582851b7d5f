#include "wigeonrill/replay.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

namespace wigeonrill::replay {

namespace {

using json = nlohmann::ordered_json;

std::int64_t to_microseconds(instant time) {
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

instant read_time(const json& line, const char* key) {
    return instant(microseconds(line.at(key).get<std::int64_t>()));
}

json target_json(const trace_target& it) {
    return {{"service", it.service.value}, {"target", it.id.value}};
}

json config_json(const recorded_config& it) {
    json services = json::array();
    for (const auto& service : it.configuration->services) {
        json targets = json::array();
        for (const auto& one : service.targets) {
            targets.push_back({{"id", one.id.value},
                               {"address", to_string(one.address)},
                               {"domain", one.domain.value},
                               {"slots", one.slots},
                               {"cold_start_ms", one.cold_start.count()}});
        }
        services.push_back(
            {{"name", service.name.value},
             {"weight", std::string(enum_name(config::health_weight_names, service.weight))},
             {"floor_slots", service.floor_slots},
             {"targets", std::move(targets)}});
    }
    return {{"type", "config"},
            {"at_us", to_microseconds(it.at)},
            {"version", it.configuration->version},
            {"services", std::move(services)}};
}

json answer_json(const trace& recorded, const recorded_answer& it) {
    const auto& target = recorded.targets[it.target];
    json line{{"type", "answer"},
              {"node", recorded.nodes[it.node].id.value},
              {"service", target.service.value},
              {"target", target.id.value},
              {"route", recorded.routes[it.route].value},
              {"sent_us", to_microseconds(it.sent)},
              {"ended_us", to_microseconds(it.ended)},
              {"kind", std::string(enum_name(health::answer_kind_names, it.kind))}};
    if (it.fingerprint != 0) {
        line["fingerprint"] = it.fingerprint;
    }
    return line;
}

json fault_json(const trace& recorded, const fault_label& it) {
    json targets = json::array();
    for (const auto one : it.targets) {
        targets.push_back(target_json(recorded.targets[one]));
    }
    return {{"type", "fault"},
            {"kind", it.kind},
            {"from_us", to_microseconds(it.from)},
            {"until_us", to_microseconds(it.until)},
            {"targets", std::move(targets)}};
}

/// Parses the lines of one trace and replaces the names in them by positions in its tables.
class trace_parser {
public:
    void add(const json& line) {
        const auto type = line.at("type").get<std::string>();
        if (type == "node") {
            add_node(line);
        } else if (type == "config") {
            add_config(line);
        } else if (type == "answer") {
            add_answer(line);
        } else if (type == "pause") {
            result_.pauses.push_back({index_of(nodes_, line.at("node").get<std::string>()),
                                      read_time(line, "from_us"), read_time(line, "until_us")});
        } else if (type == "leaving") {
            result_.leaving.push_back({target_index(line), read_time(line, "at_us")});
        } else if (type == "fault") {
            add_fault(line);
        } else if (type == "end") {
            result_.end = read_time(line, "at_us");
        } else {
            throw std::invalid_argument("unknown type \"" + type + "\"");
        }
    }

    trace finish() {
        const auto by_sending = [](const auto& left, const auto& right) {
            return left.sent < right.sent;
        };
        std::stable_sort(result_.answers.begin(), result_.answers.end(), by_sending);
        return std::move(result_);
    }

private:
    /// Position of each name in the trace's table of nodes, targets or routes.
    using index_table = std::map<std::string, std::uint32_t>;

    static std::uint32_t index_of(const index_table& indexes, const std::string& name) {
        const auto it = indexes.find(name);
        if (it == indexes.end()) {
            throw std::invalid_argument("unknown name \"" + name + "\"");
        }
        return it->second;
    }

    void add_node(const json& line) {
        const auto id = line.at("id").get<std::string>();
        nodes_.emplace(id, static_cast<std::uint32_t>(result_.nodes.size()));
        result_.nodes.push_back({node_id(id), domain_name(line.at("domain").get<std::string>())});
    }

    /// \returns the position of the target that the line names; an earlier configuration must have
    /// it
    std::uint32_t target_index(const json& line) {
        const auto service = line.at("service").get<std::string>();
        const auto id = line.at("target").get<std::string>();
        return index_of(targets_, service + '\n' + id);
    }

    config::service read_service(const json& from) {
        config::service service;
        service.name = service_name(from.at("name").get<std::string>());
        const auto weight = from.at("weight").get<std::string>();
        const auto* parsed_weight = enum_value(config::health_weight_names, weight);
        if (parsed_weight == nullptr) {
            throw std::invalid_argument("unknown weight \"" + weight + "\"");
        }
        service.weight = *parsed_weight;
        service.floor_slots = from.at("floor_slots").get<std::uint32_t>();
        for (const auto& it : from.at("targets")) {
            config::target loaded_target;
            loaded_target.id = target_id(it.at("id").get<std::string>());
            const auto address = parse_endpoint(it.at("address").get<std::string>());
            if (!address) {
                throw std::invalid_argument(address.error().message);
            }
            loaded_target.address = *address;
            loaded_target.domain = domain_name(it.at("domain").get<std::string>());
            loaded_target.slots = it.at("slots").get<std::uint32_t>();
            loaded_target.cold_start = milliseconds(it.at("cold_start_ms").get<std::int64_t>());
            const auto name = service.name.value + '\n' + loaded_target.id.value;
            if (targets_.emplace(name, static_cast<std::uint32_t>(result_.targets.size())).second) {
                result_.targets.push_back({service.name, loaded_target.id});
            }
            service.targets.push_back(std::move(loaded_target));
        }
        return service;
    }

    void add_config(const json& line) {
        auto loaded = std::make_shared<config::snapshot>();
        loaded->version = line.at("version").get<std::uint64_t>();
        for (const auto& it : line.at("services")) {
            loaded->services.push_back(read_service(it));
        }
        result_.configs.push_back({read_time(line, "at_us"), std::move(loaded)});
    }

    void add_answer(const json& line) {
        recorded_answer answer;
        answer.node = index_of(nodes_, line.at("node").get<std::string>());
        answer.target = target_index(line);
        const auto route = line.at("route").get<std::string>();
        const auto next = static_cast<std::uint32_t>(result_.routes.size());
        const auto [it, is_new] = routes_.emplace(route, next);
        if (is_new) {
            result_.routes.emplace_back(route);
        }
        answer.route = it->second;
        answer.sent = read_time(line, "sent_us");
        answer.ended = read_time(line, "ended_us");
        const auto kind = line.at("kind").get<std::string>();
        const auto* parsed_kind = enum_value(health::answer_kind_names, kind);
        if (parsed_kind == nullptr || answer.ended < answer.sent) {
            throw std::invalid_argument("unknown kind, or ended_us is before sent_us");
        }
        answer.kind = *parsed_kind;
        answer.fingerprint = line.value("fingerprint", std::uint64_t{0});
        result_.answers.push_back(answer);
    }

    void add_fault(const json& line) {
        fault_label label;
        label.kind = line.at("kind").get<std::string>();
        label.from = read_time(line, "from_us");
        label.until = read_time(line, "until_us");
        for (const auto& it : line.at("targets")) {
            label.targets.push_back(target_index(it));
        }
        result_.faults.push_back(std::move(label));
    }

    trace result_;
    index_table nodes_;
    index_table targets_; ///< by service name, newline and target id
    index_table routes_;
};

} // namespace

void write_trace(const trace& recorded, std::ostream& out) {
    for (const auto& it : recorded.nodes) {
        out << json{{"type", "node"}, {"id", it.id.value}, {"domain", it.domain.value}} << '\n';
    }
    for (const auto& it : recorded.configs) {
        out << config_json(it) << '\n';
    }
    for (const auto& it : recorded.pauses) {
        out << json{{"type", "pause"},
                    {"node", recorded.nodes[it.node].id.value},
                    {"from_us", to_microseconds(it.from)},
                    {"until_us", to_microseconds(it.until)}}
            << '\n';
    }
    for (const auto& it : recorded.leaving) {
        auto line = target_json(recorded.targets[it.target]);
        line["type"] = "leaving";
        line["at_us"] = to_microseconds(it.at);
        out << line << '\n';
    }
    for (const auto& it : recorded.faults) {
        out << fault_json(recorded, it) << '\n';
    }
    for (const auto& it : recorded.answers) {
        out << answer_json(recorded, it) << '\n';
    }
    out << json{{"type", "end"}, {"at_us", to_microseconds(recorded.end)}} << '\n';
}

result<trace> read_trace(std::istream& in) {
    trace_parser parser;
    std::string text;
    for (int line_number = 1; std::getline(in, text); ++line_number) {
        if (text.empty()) {
            continue;
        }
        // The JSON library and trace_parser report errors as exceptions.
        try {
            parser.add(json::parse(text));
        } catch (const std::exception& failure) {
            return failed(error_kind::invalid_input,
                          "trace line " + std::to_string(line_number) + ": " + failure.what(),
                          "see docs/reference/trace.md for the format");
        }
    }
    return parser.finish();
}

} // namespace wigeonrill::replay
