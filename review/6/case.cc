// Case: a version of the configuration adds a route below an existing one. Requests whose path the
// new prefix doesn't begin must go on to the service of the old route. Rule ROUTE.
#include "../standins-2/site.hh"

using namespace site;

namespace {

const char* shop = R"("shop":{"host":"h.example","prefix":"/shop/","kind":"unsafe",)"
                   R"("timeout_s":5.0,"target_latency_s":2.0,"priority":1,"service":"ledger",)"
                   R"("attempts":2})";
const char* orders = R"("orders":{"host":"h.example","prefix":"/shop/orders/","kind":"safe",)"
                     R"("timeout_s":5.0,"target_latency_s":2.0,"priority":1,)"
                     R"("service":"catalogue","attempts":2})";

std::string configuration(int version, const std::string& routes) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":{)" + routes +
           R"(},"services":{"ledger":{},"catalogue":{}},"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":1000000,"header_timeout_s":5,"idle_timeout_s":30}})";
}

} // namespace

int main(int, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    rec.open(argv[1]);
    deployment all(3);
    std::map<std::string, std::string> service_of;
    for (int i = 0; i < 6; ++i) {
        server::options how;
        how.id = "i-" + std::to_string(i);
        how.service = i < 3 ? "ledger" : "catalogue";
        how.work_s = 0.1;
        service_of[how.id] = how.service;
        all.add_server(how).write_record();
    }
    all.records.put("op/config", configuration(7, shop));
    all.start_all();
    if (!is_ready_twice(all)) {
        finish(all, 2, "the nodes were not ready");
    }
    if (trouble()) {
        rec.line("version 9 is written; it adds the route /shop/orders/");
        all.records.put("op/config", configuration(9, std::string(shop) + "," + orders));
    }
    sleep_s(4.0);                               // past apply_s
    std::map<std::string, std::string> path_of; // by id
    for (int i = 0; i < 30; ++i) {
        request one;
        one.method = "POST";
        one.path = i % 2 == 0 ? "/shop/orders" : "/shop/basket";
        one.id = new_id();
        one.body = "one order";
        path_of[one.id] = one.path;
        send_request(all.at(static_cast<std::size_t>(i % 3)).front, one);
    }
    int sent = 0;
    int wrong = 0;
    int ran = 0;
    for (const auto& [id, path] : path_of) {
        sent += path == "/shop/orders" ? 1 : 0;
    }
    for (auto& one : all.servers) {
        for (const auto& it : one->runs()) {
            const bool is_order = path_of[it.id] == "/shop/orders";
            ran += is_order ? 1 : 0;
            wrong += is_order && service_of[it.server] != "ledger" ? 1 : 0;
        }
    }
    std::ostringstream why;
    why << "ROUTE: of " << sent << " requests POST /shop/orders, which only the prefix /shop/ "
        << "begins, " << ran << " ran, " << wrong << " of them at the service of /shop/orders/";
    if (ran == 0) {
        finish(all, 2, why.str());
    }
    finish(all, wrong > 0 ? 1 : 0, why.str());
}
