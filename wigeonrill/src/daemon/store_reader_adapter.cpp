#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

store_reader_adapter::store_reader_adapter(const settings& node_settings,
                                           std::unique_ptr<platform::record_feed> feed,
                                           control_thread& control, control_loop& loop,
                                           const clock_source& clock, random_source& random,
                                           observe::log_sink& log)
    : control_(control), loop_(loop), log_(log), feed_(std::move(feed)) {
    reader_ = std::make_unique<platform::feed_reader_thread>(
        platform::read_schedule_settings{}, node_settings.inventory, *feed_, clock, random,
        [this](const platform::store_reading& latest) { handle(latest); });
    loop_.on_peer_reading_applied([this](instant when) { reader_->mark_up_to_date(when); });
    loop_.on_configuration_change(
        [this] { reader_->set_configuration_in_force(loop_.state()->configuration); });
    loop_.on_group_rank([this](std::size_t rank) { reader_->set_rank(rank); });
}

store_reader_adapter::~store_reader_adapter() = default;

void store_reader_adapter::handle(const platform::store_reading& latest) {
    for (const auto& it : latest.notes) {
        log_.write(it.is_warning ? log_level::warning : log_level::info, log_subsystem::platform,
                   log_line(it.what)
                       .with("record", it.key)
                       .with("revision", static_cast<std::int64_t>(it.revision))
                       .with("detail", it.detail));
    }
    log_read_result(latest);
    if (!latest.failure) {
        control_.post([this, latest] { loop_.handle_store_reading(latest); });
    }
}

void store_reader_adapter::log_read_result(const platform::store_reading& latest) {
    const bool fails = latest.failure && latest.failure->kind != error_kind::not_found;
    const auto line_of = [&latest](const char* what) {
        return log_line(what)
            .with("as_of", static_cast<std::int64_t>(latest.as_of))
            .with("call", latest.call.lists_all ? "list" : "changes")
            .with("since", static_cast<std::int64_t>(latest.call.since))
            .with("duration_ms", latest.call.duration);
    };
    if (latest.failure) {
        log_.write(log_level::warning, log_subsystem::platform,
                   line_of("Reading the store failed; what is known stays in force.")
                       .with("reason", to_string(*latest.failure)));
    } else if (failing_ || latest.call.records > 0) {
        log_.write(log_level::info, log_subsystem::platform,
                   line_of(failing_ ? "Reading the store succeeded again." : "Store read.")
                       .with("records", static_cast<std::int64_t>(latest.call.records))
                       .with("bytes", static_cast<std::int64_t>(latest.call.bytes)));
    }
    failing_ = fails;
}

} // namespace wigeonrill::daemon
