#include "platform/headers.h"
#include "platform/records.h"
#include "platform/store_client.h"
#include "wigeonrill/daemon.h"

int main(int argc, char** argv) {
    using namespace wigeonrill;
    const daemon::platform_binding binding{
        [](const endpoint& store, const clock_source& clock) {
            return std::make_unique<users_platform::store_client>(store, clock);
        },
        users_platform::header_names(), users_platform::path_matching};
    return daemon::run(argc, argv, binding);
}
