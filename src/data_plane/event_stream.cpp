#include "data_plane/event_stream.hpp"

#include <utility>

namespace whinledge::data_plane {

void EventStreamParser::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        line_.append(bytes.substr(0, end));
        if (end == std::string_view::npos) return;
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

void EventStreamParser::end_line() {
    constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
    std::string_view line = line_;
    if (std::exchange(first_line_, false) && line.starts_with(kByteOrderMark))
        line.remove_prefix(kByteOrderMark.size());
    if (line.empty()) {
        if (std::exchange(has_data_, false)) {
            data_.pop_back();  // the last line feed is no data
            on_event_(data_);
        }
        data_.clear();
    } else if (line == "data" || line.starts_with("data:")) {
        std::string_view value = line.substr(line.size() > 4 ? 5 : 4);
        if (value.starts_with(' ')) value.remove_prefix(1);
        data_.append(value).push_back('\n');
        has_data_ = true;
    }
    line_.clear();
}

}  // namespace whinledge::data_plane
