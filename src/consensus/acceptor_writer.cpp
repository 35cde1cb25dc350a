#include "consensus/acceptor_writer.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace whinledge::consensus {

namespace asio = boost::asio;

AcceptorWriter::AcceptorWriter(asio::io_context& io, std::unique_ptr<AcceptorLog> log)
    : io_(io), log_(std::move(log)), figures_(std::make_shared<LogFigures>(log_->figures())) {}

AcceptorWriter::~AcceptorWriter() {
    thread_.stop();
    thread_.join();
}

void AcceptorWriter::write(AcceptorWrite write, std::function<void(DiskResult<void>)> done) {
    auto tell = [weak = std::weak_ptr<LogFigures>(figures_), done = std::move(done)](
                    DiskResult<void> result, const LogFigures& figures) {
        const auto told = weak.lock();
        if (!told) return;  // the writer is gone
        *told = figures;
        done(std::move(result));
    };
    // The loop does not end while it is owed an answer.
    auto work = asio::make_work_guard(io_);
    asio::post(
        thread_, [this, write = std::move(write), tell = std::move(tell), work = std::move(work)]() mutable {
            DiskResult<void> result = log_->append(write);
            asio::post(io_, [tell = std::move(tell), result = std::move(result),
                             figures = log_->figures()]() mutable { tell(std::move(result), figures); });
        });
}

}  // namespace whinledge::consensus
