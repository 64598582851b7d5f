#ifndef WIGEONRILL_ONCE_STORED_ANSWER_H
#define WIGEONRILL_ONCE_STORED_ANSWER_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Answer kept for requests that repeat a key.
///
/// The content is opaque to this module; its size counts against the limit of the dedup_table.
struct stored_answer {
    std::shared_ptr<const void> content; ///< null: the answer was not kept
    std::size_t bytes{0};                ///< size of the content
};

} // namespace wigeonrill::once

#endif
