#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_part;

feed_link::feed_link(const settings& wanted, std::unique_ptr<platform::record_feed> feed,
                     control_thread& control, control_loop& loop, const clock_source& clock,
                     random_source& random, observe::log_sink& log)
    : control_(control), loop_(loop), log_(log), feed_(std::move(feed)) {
    reader_ = std::make_unique<platform::feed_thread>(
        platform::read_schedule_settings{}, wanted.inventory, *feed_, clock, random,
        [this](const platform::reading& made) { take(made); });
    loop_.on_known([this](instant when) { reader_->known_as_of(when); });
    loop_.on_adopted([this] { reader_->set_in_force(loop_.state()->configuration); });
    loop_.on_group([this](std::size_t rank) { reader_->set_rank(rank); });
}

feed_link::~feed_link() = default;

void feed_link::take(const platform::reading& made) {
    for (const auto& it : made.notes) {
        log_.write(it.is_fault ? log_level::warning : log_level::info, log_part::platform,
                   log_line(it.what)
                       .with("record", it.key)
                       .with("revision", static_cast<std::int64_t>(it.revision))
                       .with("detail", it.detail));
    }
    note_failure(made);
    if (!made.failure) {
        control_.post([this, made] { loop_.take_reading(made); });
    }
}

void feed_link::note_failure(const platform::reading& made) {
    const bool fails = made.failure && made.failure->kind != error_kind::not_found;
    if (made.failure) {
        log_.write(log_level::warning, log_part::platform,
                   log_line("Reading the store failed; what is known stays in force.")
                       .with("as_of", static_cast<std::int64_t>(made.as_of))
                       .with("reason", to_string(*made.failure)));
    } else if (failing_) {
        log_.write(log_level::info, log_part::platform,
                   log_line("The store answers again.")
                       .with("as_of", static_cast<std::int64_t>(made.as_of)));
    }
    failing_ = fails;
}

} // namespace wigeonrill::daemon
