// Writes an acceptor's log on a thread of its own, so that a disk that is slow or hangs does not hold up the
// loop. Used from the loop's thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>

#include "consensus/acceptor_log.hpp"

namespace whinledge::consensus {

class AcceptorWriter {
public:
    AcceptorWriter(boost::asio::io_context& io, std::unique_ptr<AcceptorLog> log);
    // Waits for the write under way, if any; its `done` is not called any more.
    ~AcceptorWriter();
    AcceptorWriter(const AcceptorWriter&) = delete;
    AcceptorWriter& operator=(const AcceptorWriter&) = delete;

    // Calls `done` on the loop once the write has succeeded or failed. Writes are done in their order.
    void write(AcceptorWrite write, std::function<void(DiskResult<void>)> done);

    // As of the last write that is done.
    const LogFigures& figures() const { return *figures_; }

private:
    boost::asio::io_context& io_;
    std::unique_ptr<AcceptorLog> log_;  // touched by the thread alone once that has begun
    std::shared_ptr<LogFigures> figures_;
    boost::asio::thread_pool thread_{1};
};

}  // namespace whinledge::consensus
