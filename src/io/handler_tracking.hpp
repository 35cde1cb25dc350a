// Asio's hooks for handler tracking (BOOST_ASIO_CUSTOM_HANDLER_TRACKING): each handler is timed for the
// LoopWatch of its thread. The other hooks do nothing. Asio places the hook for a completion at the top of
// the function that calls the handler, with the operation, in parentheses, as its argument.
#pragma once

#include <typeinfo>

#include "io/loop_watch.hpp"

#define BOOST_ASIO_INHERIT_TRACKED_HANDLER
#define BOOST_ASIO_ALSO_INHERIT_TRACKED_HANDLER
#define BOOST_ASIO_HANDLER_TRACKING_INIT (void)0
#define BOOST_ASIO_HANDLER_LOCATION(location) (void)0
#define BOOST_ASIO_HANDLER_CREATION(arguments) (void)0
#define BOOST_ASIO_HANDLER_COMPLETION(operation) const ::whinledge::HandlerTurn handler_turn(typeid operation)
#define BOOST_ASIO_HANDLER_INVOCATION_BEGIN(arguments) (void)0
#define BOOST_ASIO_HANDLER_INVOCATION_END (void)0
#define BOOST_ASIO_HANDLER_OPERATION(arguments) (void)0
#define BOOST_ASIO_HANDLER_REACTOR_REGISTRATION(arguments) (void)0
#define BOOST_ASIO_HANDLER_REACTOR_DEREGISTRATION(arguments) (void)0
#define BOOST_ASIO_HANDLER_REACTOR_READ_EVENT 0
#define BOOST_ASIO_HANDLER_REACTOR_WRITE_EVENT 0
#define BOOST_ASIO_HANDLER_REACTOR_ERROR_EVENT 0
#define BOOST_ASIO_HANDLER_REACTOR_EVENTS(arguments) (void)0
#define BOOST_ASIO_HANDLER_REACTOR_OPERATION(arguments) (void)0
