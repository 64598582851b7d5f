#ifndef WIGEONRILL_TEST_BASE64_H
#define WIGEONRILL_TEST_BASE64_H

#include <Poco/Base64Encoder.h>
#include <sstream>
#include <string>

namespace wigeonrill::test {

/// \returns the text in base64 without line breaks, the encoding of values in the key-value store
///          of the users' platform
inline std::string base64(const std::string& text) {
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return out.str();
}

} // namespace wigeonrill::test

#endif
