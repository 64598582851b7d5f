#ifndef WIGEONRILL_PLATFORM_MANIFEST_READER_THREAD_H
#define WIGEONRILL_PLATFORM_MANIFEST_READER_THREAD_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Thread that makes the calls chosen by a manifest_reader and reports its events.
class manifest_reader_thread {
public:
    /// \brief Receives each event. Called on the reading thread; must not call back into this
    ///        object.
    using listener = std::function<void(const manifest_reader_event&)>;

    /// \brief Starts the thread.
    /// \param source, clock, random must outlive this object; random must not be used by others
    manifest_reader_thread(manifest_reader_settings settings, value_source& source,
                           const clock_source& clock, random_source& random, listener listen);
    manifest_reader_thread(const manifest_reader_thread&) = delete;
    manifest_reader_thread& operator=(const manifest_reader_thread&) = delete;
    /// \brief Interrupts the call in progress and joins the thread.
    ~manifest_reader_thread();

    /// \brief Sets the version in force.
    /// \sa manifest_reader::set_version_in_force
    void set_version_in_force(version_in_force held);
    /// \brief Sets the VM list.
    /// \sa manifest_reader::set_vms
    void set_vms(const std::vector<config::vm_record>& vms);
    /// \brief Records that the store rejected a version.
    /// \sa manifest_reader::skip
    void skip(std::uint64_t version, const std::string& digest);

private:
    void run();
    /// Makes a get or watch call. A get returns a value or an error, never nothing.
    [[nodiscard]] result<std::optional<stored_value>> execute(const manifest_reader_call& call);

    value_source* source_;
    const clock_source* clock_;
    listener listen_;
    std::mutex mutex_;                ///< protects reader_ and stopping_
    std::condition_variable wake_up_; ///< notified when the next call may be due or at the stop
    manifest_reader reader_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace wigeonrill::platform

#endif
