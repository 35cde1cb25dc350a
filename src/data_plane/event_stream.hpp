// Reads a stream of events (text/event-stream) as its bytes come, however they are cut. Pure.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace whinledge::data_plane {

class EventStreamParser {
public:
    // Told of the data of each event, when the empty line behind it has come.
    using OnEvent = std::function<void(std::string_view data)>;
    explicit EventStreamParser(OnEvent on_event) : on_event_(std::move(on_event)) {}

    void feed(std::string_view bytes);
    // Bytes of an event that has not ended, which its stream's end discards.
    std::size_t unfinished() const { return line_.size() + data_.size(); }

private:
    void end_line();

    OnEvent on_event_;
    std::string line_;  // so far
    std::string data_;  // of the event so far, its lines ended by line feeds
    bool has_data_ = false;
    bool after_cr_ = false;  // a line feed right behind ends no second line
    bool first_line_ = true;
};

}  // namespace whinledge::data_plane
