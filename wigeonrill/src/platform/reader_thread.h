#ifndef WIGEONRILL_PLATFORM_READER_THREAD_H
#define WIGEONRILL_PLATFORM_READER_THREAD_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Carries out the reader's calls in a thread of its own.
class reader_thread {
public:
    /// \brief Receives events on the reader's thread; must not call back into this object.
    using listener = std::function<void(const reader_event&)>;

    /// \brief Starts the thread.
    /// \param source, clock, random must outlive this; random is used by this object alone
    reader_thread(reader_settings settings, value_source& source, const clock_source& clock,
                  random_source& random, listener listen);
    reader_thread(const reader_thread&) = delete;
    reader_thread& operator=(const reader_thread&) = delete;
    /// \brief Interrupts the source and joins the thread.
    ~reader_thread();

    /// \sa reader::set_held, reader::set_vms, reader::skip
    void set_held(held_version held);
    void set_vms(const std::vector<config::vm_record>& vms);
    void skip(std::uint64_t version, const std::string& digest);

private:
    void run();
    [[nodiscard]] result<std::optional<stored_value>> make(const reader_call& call);

    value_source* source_;
    const clock_source* clock_;
    listener listen_;
    std::mutex mutex_;
    std::condition_variable changed_;
    reader reader_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace wigeonrill::platform

#endif
