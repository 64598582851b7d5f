#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead."
#endif

#ifndef WIGEONRILL_DAEMON_STORE_READER_ADAPTER_H
#define WIGEONRILL_DAEMON_STORE_READER_ADAPTER_H

namespace wigeonrill::daemon {

/// \brief Runs the reader of the platform's store and passes its readings to the control thread.
class store_reader_adapter {
public:
    /// \brief Starts to read. All references must outlive this object.
    store_reader_adapter(const settings& node_settings, std::unique_ptr<platform::record_feed> feed,
                         control_thread& control, control_loop& loop, const clock_source& clock,
                         random_source& random, observe::log_sink& log);
    store_reader_adapter(const store_reader_adapter&) = delete;
    store_reader_adapter& operator=(const store_reader_adapter&) = delete;
    /// \brief Interrupts the call in progress and stops the reader.
    ~store_reader_adapter();

private:
    /// Logs the notes of a reading, and passes it on if it succeeded.
    /// Called on the reader's thread.
    void handle(const platform::store_reading& latest);
    /// Logs a failed reading, and the first successful one after a failure.
    void log_read_result(const platform::store_reading& latest);

    control_thread& control_;
    control_loop& loop_;
    observe::log_sink& log_;
    bool failing_{false}; ///< the last call failed; used by the reader's thread
    std::unique_ptr<platform::record_feed> feed_;
    std::unique_ptr<platform::feed_reader_thread> reader_;
};

} // namespace wigeonrill::daemon

#endif
