#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead."
#endif

#ifndef WIGEONRILL_DAEMON_FEED_LINK_H
#define WIGEONRILL_DAEMON_FEED_LINK_H

namespace wigeonrill::daemon {

/// \brief Connects the reader of the platform's store with the control thread.
class feed_link {
public:
    /// \brief Starts to read. All references must outlive this object.
    feed_link(const settings& wanted, std::unique_ptr<platform::record_feed> feed,
              control_thread& control, control_loop& loop, const clock_source& clock,
              random_source& random, observe::log_sink& log);
    feed_link(const feed_link&) = delete;
    feed_link& operator=(const feed_link&) = delete;
    /// \brief Interrupts the call in progress and stops the reader.
    ~feed_link();

private:
    /// Called on the reader's thread.
    void take(const platform::reading& made);
    void note_failure(const platform::reading& made);

    control_thread& control_;
    control_loop& loop_;
    observe::log_sink& log_;
    bool failing_{false}; ///< the last call failed; used by the reader's thread
    std::unique_ptr<platform::record_feed> feed_;
    std::unique_ptr<platform::feed_thread> reader_;
};

} // namespace wigeonrill::daemon

#endif
