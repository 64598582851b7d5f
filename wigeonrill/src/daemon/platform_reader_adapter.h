#ifndef WIGEONRILL_DAEMON_PLATFORM_READER_ADAPTER_H
#define WIGEONRILL_DAEMON_PLATFORM_READER_ADAPTER_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Runs the reader of the platform's configuration service and passes configuration changes
///        to the control thread.
class platform_reader_adapter {
public:
    /// \brief Starts to read. All references must outlive this object.
    platform_reader_adapter(const settings& node_settings, control_thread& control,
                            control_loop& loop, const clock_source& clock, random_source& random,
                            observe::log_sink& log);
    platform_reader_adapter(const platform_reader_adapter&) = delete;
    platform_reader_adapter& operator=(const platform_reader_adapter&) = delete;
    /// \brief Interrupts the call in progress and stops the reader.
    ~platform_reader_adapter();

    /// \brief Tells the reader the version in force. Called on the control thread.
    void update_reader();

private:
    /// Passes an event of the reader on, or logs it. Called on the reader's thread.
    void handle(const platform::manifest_reader_event& event);
    /// Applies changes; the reader skips a version that was rejected. Called on the control thread.
    void apply_changes(const config::change_set& changes);

    control_thread& control_;
    control_loop& loop_;
    observe::log_sink& log_;
    platform::http_value_source source_;
    std::unique_ptr<platform::manifest_reader_thread> reader_;
};

} // namespace wigeonrill::daemon

#endif
