// The bytes of a body on their way from one connection to another: bounded, with one producer and one
// consumer on the loop's thread.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinledge {

using Trailers = std::vector<std::pair<std::string, std::string>>;

class Stream {
public:
    // The producer pauses once `bound` bytes wait, so that no more than that and one read of it is held.
    explicit Stream(std::size_t bound) : bound_(bound) {}

    // The producer's side. What is put behind an end is dropped.
    bool full() const { return bytes_.size() - taken_ >= bound_; }
    void put(std::string_view bytes) {
        if (ended_ || stopped_) return;
        if (taken_ > 0) bytes_.erase(0, std::exchange(taken_, 0));
        bytes_.append(bytes);
        tell(on_bytes);
    }
    // All of it has come.
    void finish(Trailers trailers = {}) {
        if (ended_ || stopped_) return;
        trailers_ = std::move(trailers);
        ended_ = whole_ = true;
        tell(on_bytes);
    }
    // The rest does not come.
    void fail() {
        if (ended_ || stopped_) return;
        ended_ = true;
        tell(on_bytes);
    }

    // The consumer's side.
    std::string_view bytes() const { return std::string_view(bytes_).substr(taken_); }
    void take(std::size_t size) {
        const bool was_full = full();
        taken_ += size;
        touched_ = touched_ || size > 0;
        if (was_full && !full()) tell(on_room);
    }
    bool ended() const { return ended_; }
    bool whole() const { return whole_; }
    const Trailers& trailers() const { return trailers_; }
    // Nobody takes any more of it.
    void stop() {
        if (std::exchange(stopped_, true)) return;
        on_bytes = nullptr;
        std::string().swap(bytes_);
        taken_ = 0;
        tell(on_room);
    }
    bool stopped() const { return stopped_; }
    bool touched() const { return touched_; }  // something has been taken

    // Told when something has come, or its end; and when a full one is so no more, or was stopped. Neither
    // may call back at once into what made it be told, beyond bytes() and take().
    std::function<void()> on_bytes, on_room;

private:
    static void tell(const std::function<void()>& whom) {
        if (const auto told = whom) told();
    }

    std::size_t bound_;
    std::string bytes_;
    std::size_t taken_ = 0;  // of them
    Trailers trailers_;
    bool ended_ = false, whole_ = false, stopped_ = false, touched_ = false;
};

}  // namespace whinledge
