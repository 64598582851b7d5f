#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_FEED_THREAD_H
#define WIGEONRILL_PLATFORM_FEED_THREAD_H

namespace wigeonrill::platform {

/// \brief A successful reading of the platform's store, or the reason why there was none.
struct reading {
    config::snapshot_ptr configuration; ///< null: the rules are not known, or the call failed
    std::uint64_t as_of{0};             ///< revision of the store
    instant when{};                     ///< the content is not older than it was at this time
    std::optional<error> failure;
    std::vector<inventory_note> notes;
};

/// \brief Reads the platform's store in a thread of its own.
class feed_thread {
public:
    /// \brief Receives readings on the reader's thread; must not call back into this object.
    using listener = std::function<void(const reading&)>;

    /// \brief Starts the thread. All references must outlive this object; random is used by it
    ///        alone.
    feed_thread(read_schedule_settings schedule, inventory_options options, record_feed& feed,
                const clock_source& clock, random_source& random, listener listen);
    feed_thread(const feed_thread&) = delete;
    feed_thread& operator=(const feed_thread&) = delete;
    /// \brief Interrupts the feed and joins the thread.
    ~feed_thread();

    /// \sa read_schedule::set_rank
    void set_rank(std::size_t rank);
    /// \brief Records that a peer's reading is in force on this node.
    /// \sa read_schedule::known_as_of
    void known_as_of(instant when);
    /// \sa inventory::set_in_force
    void set_in_force(config::snapshot_ptr configuration);

private:
    void run();
    /// \param known when any node last read the store, as far as this node heard
    /// \param wait how long to wait for a change
    [[nodiscard]] reading read_once(instant known, milliseconds wait);

    record_feed* feed_;
    const clock_source* clock_;
    listener listen_;
    inventory inventory_;   ///< used by the thread only
    int changes_read_{0};   ///< calls since the last whole list; used by the thread only
    bool read_whole_{true}; ///< used by the thread only
    std::mutex mutex_;
    std::condition_variable changed_;
    read_schedule schedule_;
    config::snapshot_ptr in_force_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace wigeonrill::platform

#endif
