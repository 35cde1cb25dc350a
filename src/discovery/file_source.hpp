// Members from a JSON file that is watched for changes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "engine/members.hpp"

namespace whinledge {

struct FileSettings {
    std::string path;
    Millis poll = 5000;  // between looks that no event asked for
};

// The file's directory is watched with inotify. What events don't tell of is found by the poll: a link that
// leads to a file of another directory, a directory that is made (again) later, a file system whose changes
// come from elsewhere (NFS), a writer that never closes, the bound on inotify watches reached.
class FileSource : public MemberSource {
public:
    static constexpr std::size_t kLargest = 2 * 1024 * 1024;  // bytes of the file

    FileSource(boost::asio::io_context& io, FileSettings settings, Callbacks callbacks);
    ~FileSource() override;
    FileSource(const FileSource&) = delete;
    FileSource& operator=(const FileSource&) = delete;

    void start() override;
    void fetch() override;

private:
    class Watcher;
    std::shared_ptr<Watcher> watcher_;
};

}  // namespace whinledge
