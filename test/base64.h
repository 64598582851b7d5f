#ifndef WIGEONRILL_TEST_BASE64_H
#define WIGEONRILL_TEST_BASE64_H

#include <Poco/Base64Encoder.h>
#include <sstream>
#include <string>

namespace wigeonrill::test {

/// \returns a text as the users' store spells it
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
