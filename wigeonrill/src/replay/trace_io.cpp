#include "wigeonrill/replay.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

namespace wigeonrill::replay {

namespace {

using json = nlohmann::ordered_json;

std::int64_t micros(instant time) {
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

instant time_of(const json& line, const char* key) {
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
            {"at_us", micros(it.at)},
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
              {"sent_us", micros(it.sent)},
              {"ended_us", micros(it.ended)},
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
            {"from_us", micros(it.from)},
            {"until_us", micros(it.until)},
            {"targets", std::move(targets)}};
}

/// Reads the lines of one trace and numbers the names in them.
class reader {
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
            result_.pauses.push_back({number(nodes_, line.at("node").get<std::string>()),
                                      time_of(line, "from_us"), time_of(line, "until_us")});
        } else if (type == "leaving") {
            result_.leaving.push_back({target(line), time_of(line, "at_us")});
        } else if (type == "fault") {
            add_fault(line);
        } else if (type == "end") {
            result_.end = time_of(line, "at_us");
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
    using table = std::map<std::string, std::uint32_t>;

    static std::uint32_t number(const table& known, const std::string& name) {
        const auto it = known.find(name);
        if (it == known.end()) {
            throw std::invalid_argument("unknown name \"" + name + "\"");
        }
        return it->second;
    }

    void add_node(const json& line) {
        const auto id = line.at("id").get<std::string>();
        nodes_.emplace(id, static_cast<std::uint32_t>(result_.nodes.size()));
        result_.nodes.push_back({node_id(id), domain_name(line.at("domain").get<std::string>())});
    }

    std::uint32_t target(const json& line) {
        const auto service = line.at("service").get<std::string>();
        const auto id = line.at("target").get<std::string>();
        return number(targets_, service + '\n' + id);
    }

    config::service read_service(const json& from) {
        config::service service;
        service.name = service_name(from.at("name").get<std::string>());
        const auto weight = from.at("weight").get<std::string>();
        const auto* known = enum_value(config::health_weight_names, weight);
        if (known == nullptr) {
            throw std::invalid_argument("unknown weight \"" + weight + "\"");
        }
        service.weight = *known;
        service.floor_slots = from.at("floor_slots").get<std::uint32_t>();
        for (const auto& it : from.at("targets")) {
            config::target one;
            one.id = target_id(it.at("id").get<std::string>());
            const auto address = parse_endpoint(it.at("address").get<std::string>());
            if (!address) {
                throw std::invalid_argument(address.error().message);
            }
            one.address = *address;
            one.domain = domain_name(it.at("domain").get<std::string>());
            one.slots = it.at("slots").get<std::uint32_t>();
            one.cold_start = milliseconds(it.at("cold_start_ms").get<std::int64_t>());
            const auto name = service.name.value + '\n' + one.id.value;
            if (targets_.emplace(name, static_cast<std::uint32_t>(result_.targets.size())).second) {
                result_.targets.push_back({service.name, one.id});
            }
            service.targets.push_back(std::move(one));
        }
        return service;
    }

    void add_config(const json& line) {
        auto made = std::make_shared<config::snapshot>();
        made->version = line.at("version").get<std::uint64_t>();
        for (const auto& it : line.at("services")) {
            made->services.push_back(read_service(it));
        }
        result_.configs.push_back({time_of(line, "at_us"), std::move(made)});
    }

    void add_answer(const json& line) {
        recorded_answer made;
        made.node = number(nodes_, line.at("node").get<std::string>());
        made.target = target(line);
        const auto route = line.at("route").get<std::string>();
        const auto next = static_cast<std::uint32_t>(result_.routes.size());
        const auto [it, is_new] = routes_.emplace(route, next);
        if (is_new) {
            result_.routes.emplace_back(route);
        }
        made.route = it->second;
        made.sent = time_of(line, "sent_us");
        made.ended = time_of(line, "ended_us");
        const auto kind = line.at("kind").get<std::string>();
        const auto* known = enum_value(health::answer_kind_names, kind);
        if (known == nullptr || made.ended < made.sent) {
            throw std::invalid_argument("unknown kind, or an end before the sending");
        }
        made.kind = *known;
        made.fingerprint = line.value("fingerprint", std::uint64_t{0});
        result_.answers.push_back(made);
    }

    void add_fault(const json& line) {
        fault_label made;
        made.kind = line.at("kind").get<std::string>();
        made.from = time_of(line, "from_us");
        made.until = time_of(line, "until_us");
        for (const auto& it : line.at("targets")) {
            made.targets.push_back(target(it));
        }
        result_.faults.push_back(std::move(made));
    }

    trace result_;
    table nodes_;
    table targets_;
    table routes_;
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
                    {"from_us", micros(it.from)},
                    {"until_us", micros(it.until)}}
            << '\n';
    }
    for (const auto& it : recorded.leaving) {
        auto line = target_json(recorded.targets[it.target]);
        line["type"] = "leaving";
        line["at_us"] = micros(it.at);
        out << line << '\n';
    }
    for (const auto& it : recorded.faults) {
        out << fault_json(recorded, it) << '\n';
    }
    for (const auto& it : recorded.answers) {
        out << answer_json(recorded, it) << '\n';
    }
    out << json{{"type", "end"}, {"at_us", micros(recorded.end)}} << '\n';
}

result<trace> read_trace(std::istream& in) {
    reader lines;
    std::string text;
    for (int number = 1; std::getline(in, text); ++number) {
        if (text.empty()) {
            continue;
        }
        // The JSON library reports errors by exceptions only.
        try {
            lines.add(json::parse(text));
        } catch (const std::exception& failure) {
            return failed(error_kind::invalid_input,
                          "trace line " + std::to_string(number) + ": " + failure.what(),
                          "see docs/reference/trace.md for the format");
        }
    }
    return lines.finish();
}

} // namespace wigeonrill::replay
