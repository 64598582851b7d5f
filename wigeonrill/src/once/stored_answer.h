#ifndef WIGEONRILL_ONCE_STORED_ANSWER_H
#define WIGEONRILL_ONCE_STORED_ANSWER_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Answer kept for a repeated key. Opaque here; its size counts against the table's bound.
struct stored_answer {
    std::shared_ptr<const void> content; ///< null: the answer was not kept
    std::size_t bytes{0};
};

} // namespace wigeonrill::once

#endif
