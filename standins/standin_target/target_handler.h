#ifndef WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_HANDLER_H
#define WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_HANDLER_H

#include "target_behaviour.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace wigeonrill::standins {

/// \brief Creates the request handlers of the stand-in for a target.
///
/// Paths below /standin/ are control requests. All others are requests that the stand-in executes.
class target_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    /// \param behaviour must outlive the factory and its handlers
    explicit target_handler_factory(target_behaviour& behaviour) : behaviour_(&behaviour) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    target_behaviour* behaviour_;
};

} // namespace wigeonrill::standins

#endif
