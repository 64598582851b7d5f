#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

platform::manifest_reader_settings make_reader_settings(const settings& node_settings) {
    platform::manifest_reader_settings it;
    it.self = node_settings.peer.value_or(node_settings.traffic);
    it.start_delay = node_settings.start_delay;
    return it;
}

} // namespace

platform_reader_adapter::platform_reader_adapter(const settings& node_settings,
                                                 control_thread& control, control_loop& loop,
                                                 const clock_source& clock, random_source& random,
                                                 observe::log_sink& log)
    : control_(control), loop_(loop), log_(log), source_(node_settings.platform) {
    reader_ = std::make_unique<platform::manifest_reader_thread>(
        make_reader_settings(node_settings), source_, clock, random,
        [this](const platform::manifest_reader_event& event) { handle(event); });
}

platform_reader_adapter::~platform_reader_adapter() = default;

void platform_reader_adapter::update_reader() {
    reader_->set_version_in_force(loop_.current_version());
    if (const auto configuration = loop_.state()->configuration) {
        reader_->set_vms(configuration->vms);
    }
}

void platform_reader_adapter::handle(const platform::manifest_reader_event& event) {
    using kind = platform::manifest_reader_event::kind;
    if (event.what == kind::changes) {
        control_.post([this, changes = event.changes] { apply_changes(changes); });
    } else if (event.what == kind::confirmed) {
        control_.post([this, version = event.version] { loop_.confirm(version); });
    } else {
        log_.write(
            observe::log_level::warning, observe::log_subsystem::platform,
            observe::log_line("Reading the configuration failed; the version in force stays.")
                .with("reason", to_string(event.reason)));
    }
}

void platform_reader_adapter::apply_changes(const config::change_set& changes) {
    if (loop_.apply_changes(changes, "platform") == config::apply_outcome::rejected) {
        reader_->skip(changes.version, changes.digest);
    }
}

} // namespace wigeonrill::daemon
