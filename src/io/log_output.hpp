// Where the lines of a log go.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace whinledge {

// Used on the thread of its LogWriter alone; each call may take as long as the disk or the reader does.
class LogOutput {
public:
    virtual ~LogOutput() = default;
    // False: the line was not written, or not wholly.
    virtual bool write(std::string_view line) = 0;
    virtual void reopen() {}
};

// `descriptor` stays its owner's, and open for as long as the output lasts. One that does not block is waited
// for.
std::unique_ptr<LogOutput> log_to_descriptor(int descriptor);

// Appends to a file, which is made where it is missing; one that can't be opened is tried again at each line.
std::unique_ptr<LogOutput> log_to_file(std::string path);

}  // namespace whinledge
