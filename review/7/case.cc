// Case: the operator adds a tenant whose name has a space, and takes a key away in the next
// version. Requests with that key must not run any more. Rule CONFIG.
#include "../standins-2/site.hh"

using namespace site;

namespace {

std::string configuration(int version, const std::string& tenants) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":{"look":{"host":"h.example","prefix":"/look/","kind":"safe",)"
           R"("timeout_s":5.0,"target_latency_s":2.0,"priority":2,"service":"desk",)"
           R"("attempts":2}},"services":{"desk":{}},"tenants":{)" +
           tenants +
           R"(},"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
           R"("header_timeout_s":5,"idle_timeout_s":30}})";
}

std::string tenant(const std::string& name, const std::string& keys) {
    return "\"" + name + R"(":{"api_keys":[)" + keys + R"(],"rate_per_s":0,"burst":0})";
}

} // namespace

int main(int, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    rec.open(argv[1]);
    deployment all(3);
    for (int i = 0; i < 4; ++i) {
        server::options how;
        how.id = "i-" + std::to_string(i);
        how.service = "desk";
        how.work_s = 0.05;
        all.add_server(how).write_record();
    }
    const auto one = tenant("stall-1", R"("key-one")");
    const auto two = tenant("stall-2", R"("key-two","key-old")");
    const auto two_later = tenant("stall-2", R"("key-two")");
    const auto added = tenant("Naschmarkt Stand 12", R"("key-new")");
    all.records.put("op/config", configuration(7, one + "," + two));
    all.start_all();
    if (!is_ready_twice(all)) {
        finish(all, 2, "the nodes were not ready");
    }
    std::string tenants = one;
    if (trouble()) {
        tenants += "," + added;
        rec.line("version 9 is written; it adds the tenant \"Naschmarkt Stand 12\"");
        all.records.put("op/config", configuration(9, tenants + "," + two));
        sleep_s(4.0);
    }
    rec.line("version 11 is written; it takes key-old away from stall-2");
    all.records.put("op/config", configuration(11, tenants + "," + two_later));
    sleep_s(5.0); // past apply_s
    std::set<std::string> with_old_key;
    int served = 0;
    for (int i = 0; i < 30; ++i) {
        request it;
        const bool is_old = i % 2 == 0;
        it.path = "/look/" + std::to_string(i);
        it.id = new_id();
        it.extra_fields =
            std::string("Authorization: Bearer ") + (is_old ? "key-old" : "key-two") + "\r\n";
        if (is_old) {
            with_old_key.insert(it.id);
        }
        const auto got = send_request(all.at(static_cast<std::size_t>(i % 3)).front, it);
        served += !is_old && got.status == 200 ? 1 : 0;
    }
    int ran = 0;
    for (auto& server : all.servers) {
        for (const auto& it : server->runs()) {
            ran += with_old_key.contains(it.id) ? 1 : 0;
        }
    }
    std::ostringstream why;
    why << "CONFIG: of " << with_old_key.size() << " requests with a key that was taken away 5 s "
        << "before, " << ran << " ran (" << served << " of 15 with a valid key were served)";
    if (served == 0) {
        finish(all, 2, why.str());
    }
    finish(all, ran > 0 ? 1 : 0, why.str());
}
