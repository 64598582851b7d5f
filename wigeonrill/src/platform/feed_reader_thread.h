#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_FEED_READER_THREAD_H
#define WIGEONRILL_PLATFORM_FEED_READER_THREAD_H

namespace wigeonrill::platform {

/// \brief What one call to the platform's store asked for and cost, for the log.
struct store_call {
    bool lists_all{false};   ///< all records were asked for; otherwise the changes since a revision
    std::uint64_t since{0};  ///< revision whose later changes were asked for
    nanoseconds duration{0}; ///< time from the start of the call to its end
    std::size_t records{0};  ///< records in the answer
    std::size_t bytes{0};    ///< size of the answer
};

/// \brief Result of one call to the platform's store: a configuration or the reason of the failure.
struct store_reading {
    /// Configuration built from the store's records. Null when the call failed or the operator's
    /// rules have not been read yet.
    config::snapshot_ptr configuration;
    std::uint64_t version{0};     ///< version of the configuration, see inventory::version()
    std::uint64_t as_of{0};       ///< revision of the store up to which all changes are included
    instant when{};               ///< the configuration includes every change made before this time
    std::optional<error> failure; ///< reason of the failure; empty when the call succeeded
    std::vector<withdrawn_target> withdrawn; ///< targets that were read to be leaving or gone
    std::vector<inventory_note> notes; ///< messages for the log, in the order in which they arose
    store_call call;
};

/// \brief Thread that reads the platform's store through a record_feed.
///
/// A read_schedule chooses the times of the calls, an inventory builds the configurations.
class feed_reader_thread {
public:
    /// \brief Receives each reading. Called on the reading thread; must not call back into this
    ///        object.
    using listener = std::function<void(const store_reading&)>;

    /// \brief Starts the thread.
    /// \param feed, clock, random must outlive this object; random must not be used by others
    feed_reader_thread(read_schedule_settings schedule, inventory_options options,
                       record_feed& feed, const clock_source& clock, random_source& random,
                       listener listen);
    feed_reader_thread(const feed_reader_thread&) = delete;
    feed_reader_thread& operator=(const feed_reader_thread&) = delete;
    /// \brief Interrupts the call in progress and joins the thread.
    ~feed_reader_thread();

    /// \brief Sets the position of this node among the live nodes of its read-sharing group.
    /// \sa read_schedule::set_rank
    void set_rank(std::size_t rank);
    /// \brief Records that the configuration in force includes what a peer read at this time.
    /// \sa read_schedule::mark_up_to_date
    void mark_up_to_date(instant when);
    /// \brief Sets the configuration in force, which the next call to the store uses.
    /// \sa inventory::set_configuration_in_force
    void set_configuration_in_force(config::snapshot_ptr configuration);

private:
    /// Era of the configuration in force, and when this node first had one of that era.
    struct known_era {
        std::uint64_t era{0};
        instant since{};
    };

    void run();
    /// \returns the latest time at which any node read the store, as far as this node knows, or
    ///          `otherwise` if none did
    [[nodiscard]] instant last_read_at(instant otherwise);
    /// \brief Makes one call to the store.
    /// \returns the page; or the error not_found if all records have to be listed
    [[nodiscard]] result<feed_page> read_page(milliseconds wait);
    /// \brief Makes one call to the store and applies its result to the inventory.
    /// \param wait how long the store may hold the call open for a change
    [[nodiscard]] store_reading read_store(milliseconds wait);

    record_feed* feed_;
    const clock_source* clock_;
    listener listen_;
    inventory inventory_;          ///< used by the thread only
    int calls_since_full_list_{0}; ///< used by the thread only
    bool full_list_due_{true};     ///< the next call lists all records; used by the thread only
    std::mutex mutex_;             ///< protects the members below except thread_
    std::condition_variable
        wake_up_; ///< ends the pause between two calls when the thread must stop
    read_schedule schedule_;
    config::snapshot_ptr configuration_in_force_;
    std::optional<known_era> era_in_force_;
    /// First reading by a peer since this node's last call.
    std::optional<instant> first_peer_reading_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace wigeonrill::platform

#endif
