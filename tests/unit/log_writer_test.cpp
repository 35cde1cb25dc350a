// The log's queue and its thread: who logs never waits, lines come out whole and in order, and what is lost
// is told.
#include "io/log_writer.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace whinledge::test {
namespace {

using namespace std::chrono_literals;

constexpr auto kPatience = 10s;  // ends a test that hangs

// A disk of the test's: it hangs, is full, and comes back when told to.
class ScriptedDisk {
public:
    bool write(std::string_view line) {
        std::unique_lock lock(mutex_);
        ++tries_;
        changed_.notify_all();
        changed_.wait(lock, [&] { return !hangs_; });
        if (full_) return false;
        written_.emplace_back(line);
        return true;
    }
    void hang(bool hangs) {
        const std::lock_guard lock(mutex_);
        hangs_ = hangs;
        changed_.notify_all();
    }
    void fill(bool full) {
        const std::lock_guard lock(mutex_);
        full_ = full;
    }
    // Returns once so many writes have begun.
    void await_tries(int tries) {
        std::unique_lock lock(mutex_);
        ASSERT_TRUE(changed_.wait_for(lock, kPatience, [&] { return tries_ >= tries; }));
    }
    std::vector<std::string> written() const {
        const std::lock_guard lock(mutex_);
        return written_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool hangs_ = false, full_ = false;
    int tries_ = 0;
    std::vector<std::string> written_;
};

class ScriptedOutput final : public LogOutput {
public:
    explicit ScriptedOutput(std::shared_ptr<ScriptedDisk> disk) : disk_(std::move(disk)) {}
    bool write(std::string_view line) override { return disk_->write(line); }

private:
    std::shared_ptr<ScriptedDisk> disk_;
};

struct LogWriterTest : testing::Test {
    std::shared_ptr<ScriptedDisk> disk = std::make_shared<ScriptedDisk>();
    std::unique_ptr<LogWriter> writer = make(LogWriter::kDefaultCapacity);

    std::unique_ptr<LogWriter> make(std::size_t capacity) const {
        return std::make_unique<LogWriter>(std::make_unique<ScriptedOutput>(disk), capacity);
    }
};

using Lines = std::vector<std::string>;

TEST_F(LogWriterTest, LinesComeOutInTheirOrder) {
    Lines expected;
    for (int i = 0; i < 500; ++i) {
        expected.push_back("line " + std::to_string(i) + "\n");
        writer->write(expected.back());
    }
    ASSERT_TRUE(writer->flush(kPatience));
    EXPECT_EQ(disk->written(), expected);
    EXPECT_EQ(writer->lost(), 0u);
}

TEST_F(LogWriterTest, LinesOfSeveralThreadsComeOutOnceEach) {
    constexpr int kThreads = 4, kEach = 100;
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t)
        threads.emplace_back([&, t] {
            for (int i = 0; i < kEach; ++i) writer->write(std::to_string(t * kEach + i) + "\n");
        });
    for (std::thread& thread : threads) thread.join();
    ASSERT_TRUE(writer->flush(kPatience));
    Lines written = disk->written();
    ASSERT_EQ(written.size(), static_cast<std::size_t>(kThreads * kEach));
    std::sort(written.begin(), written.end());
    EXPECT_EQ(std::unique(written.begin(), written.end()), written.end());
}

// It would never come back if it waited for the disk.
TEST_F(LogWriterTest, WhoLogsDoesNotWaitForADiskThatHangs) {
    disk->hang(true);
    for (int i = 0; i < 100'000; ++i) writer->write("a line that nobody writes\n");
    EXPECT_FALSE(writer->flush(0ms));
    EXPECT_GT(writer->lost(), 90'000u);
    disk->hang(false);
    ASSERT_TRUE(writer->flush(kPatience));
}

TEST_F(LogWriterTest, WhatDoesNotFitIsCountedAndToldWhereItIsMissing) {
    writer = make(10);
    disk->hang(true);
    writer->write("first\n");
    writer->write("2nd\n");
    writer->write("too much\n");
    writer->write("x\n");  // would fit, and would come ahead of the notice
    disk->hang(false);
    ASSERT_TRUE(writer->flush(kPatience));
    writer->write("later\n");
    ASSERT_TRUE(writer->flush(kPatience));
    const Lines expected{"first\n", "2nd\n", "whinledge: ... 2 lines lost: the log was not written in time\n",
                         "later\n"};
    EXPECT_EQ(disk->written(), expected);
    EXPECT_EQ(writer->lost(), 2u);
}

TEST_F(LogWriterTest, ALineLongerThanTheQueueIsLostAloneAndTold) {
    writer = make(10);
    writer->write(std::string(11, 'x'));
    writer->write("short\n");
    ASSERT_TRUE(writer->flush(kPatience));
    const Lines expected{"short\n", "whinledge: ... 1 line lost: the log was not written in time\n"};
    EXPECT_EQ(disk->written(), expected);
}

TEST_F(LogWriterTest, ADiskThatIsFullAndComesBackIsTold) {
    disk->fill(true);
    for (int i = 0; i < 3; ++i) {
        writer->write("lost\n");
        ASSERT_TRUE(writer->flush(kPatience));
    }
    disk->fill(false);
    writer->write("back\n");
    ASSERT_TRUE(writer->flush(kPatience));
    const Lines expected{"back\n", "whinledge: ... 3 lines lost: the log was not written in time\n"};
    EXPECT_EQ(disk->written(), expected);
    EXPECT_EQ(writer->lost(), 3u);
}

TEST_F(LogWriterTest, FlushWaitsForTheLineUnderWay) {
    disk->hang(true);
    writer->write("under way\n");
    disk->await_tries(1);
    EXPECT_FALSE(writer->flush(0ms));
    disk->hang(false);
    EXPECT_TRUE(writer->flush(kPatience));
    EXPECT_EQ(disk->written(), Lines{"under way\n"});
}

TEST_F(LogWriterTest, ItsEndDoesNotWaitForADiskThatHangsForEver) {
    disk->hang(true);
    writer->write("never\n");
    writer.reset();
    disk->hang(false);  // lets the thread go
}

// A pipe whose buffer is one page.
class Pipe {
public:
    Pipe() {
        if (::pipe2(ends_.data(), O_CLOEXEC) != 0) throw std::bad_alloc();
        ::fcntl(ends_[1], F_SETPIPE_SZ, 4096);
    }
    ~Pipe() {
        close_reader();
        close_writer();
    }
    int writer() const { return ends_[1]; }
    void close_reader() { close(ends_[0]); }
    void close_writer() { close(ends_[1]); }
    // Until all writers are gone.
    std::string read_all() const {
        std::string all;
        std::array<char, 4096> some{};
        for (;;) {
            const ssize_t size = ::read(ends_[0], some.data(), some.size());
            if (size < 0 && errno == EINTR) continue;
            if (size <= 0) return all;
            all.append(some.data(), static_cast<std::size_t>(size));
        }
    }

private:
    static void close(int& end) {
        if (end >= 0) ::close(end);
        end = -1;
    }
    std::array<int, 2> ends_{-1, -1};
};

std::string numbered_lines(int count) {
    std::string lines;
    for (int i = 0; i < count; ++i) lines += "line " + std::to_string(i) + "\n";
    return lines;
}

TEST(LogOutput, ADescriptorThatDoesNotBlockIsWaitedFor) {
    Pipe pipe;
    ::fcntl(pipe.writer(), F_SETFL, O_NONBLOCK);
    const std::string lines = numbered_lines(5000);
    std::thread writing([&] {
        const auto output = log_to_descriptor(pipe.writer());
        EXPECT_TRUE(output->write(lines));
        pipe.close_writer();
    });
    EXPECT_EQ(pipe.read_all(), lines);
    writing.join();
}

TEST(LogOutput, AClosedDescriptorTakesNothing) { EXPECT_FALSE(log_to_descriptor(-1)->write("line\n")); }

TEST(LogWriter, AReaderThatIsGoneCostsLinesAlone) {
    Pipe pipe;
    LogWriter writer(log_to_descriptor(pipe.writer()));
    pipe.close_reader();
    for (int i = 0; i < 3; ++i) writer.write("line\n");
    ASSERT_TRUE(writer.flush(kPatience));
    EXPECT_EQ(writer.lost(), 3u);
}

TEST(LogWriter, AFullDiskCostsLinesAlone) {
    const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
    if (full < 0) GTEST_SKIP() << "no /dev/full here";
    {
        LogWriter writer(log_to_descriptor(full));
        for (int i = 0; i < 3; ++i) writer.write("line\n");
        ASSERT_TRUE(writer.flush(kPatience));
        EXPECT_EQ(writer.lost(), 3u);
    }
    ::close(full);
}

struct LogFile : testing::Test {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-log-" + std::to_string(::getpid()));
    LogFile() { std::filesystem::create_directories(folder); }
    ~LogFile() override { std::filesystem::remove_all(folder); }

    static std::string text_of(const std::filesystem::path& path) {
        std::ifstream file(path);
        return std::string(std::istreambuf_iterator<char>(file), {});
    }
};

TEST_F(LogFile, IsAppendedToAndOpenedAnewOnceItWasRenamed) {
    const auto path = folder / "log";
    std::ofstream(path) << "before\n";
    LogWriter writer(log_to_file(path));
    writer.write("one\n");
    ASSERT_TRUE(writer.flush(kPatience));
    std::filesystem::rename(path, folder / "older");
    writer.write("two\n");
    ASSERT_TRUE(writer.flush(kPatience));
    writer.reopen();
    writer.write("three\n");
    ASSERT_TRUE(writer.flush(kPatience));
    EXPECT_EQ(text_of(folder / "older"), "before\none\ntwo\n");
    EXPECT_EQ(text_of(path), "three\n");
}

TEST_F(LogFile, WhoseFolderComesLaterIsWrittenThen) {
    const auto path = folder / "later" / "log";
    LogWriter writer(log_to_file(path));
    writer.write("lost\n");
    ASSERT_TRUE(writer.flush(kPatience));
    std::filesystem::create_directories(path.parent_path());
    writer.write("kept\n");
    ASSERT_TRUE(writer.flush(kPatience));
    EXPECT_EQ(text_of(path), "kept\nwhinledge: ... 1 line lost: the log was not written in time\n");
}

// How a process with lines in its queue ended, and what of them was read.
struct Ended {
    int status = 0;
    std::string lines;
};

// In a process of its own: logs so many lines into a pipe, and ends.
Ended end_with_lines(int lines, const std::function<void()>& end, bool is_read = true) {
    Pipe pipe;
    const pid_t child = ::fork();
    if (child == 0) {
        LogWriter& writer = begin_process_log(log_to_descriptor(pipe.writer()), 1 << 20);
        for (int i = 0; i < lines; ++i) writer.write("line " + std::to_string(i) + "\n");
        end();
        ::_exit(99);
    }
    pipe.close_writer();
    Ended ended;
    if (is_read) ended.lines = pipe.read_all();
    while (::waitpid(child, &ended.status, 0) < 0 && errno == EINTR) {
    }
    return ended;
}

constexpr int kMoreThanThePipeHolds = 2000;  // lines

TEST(LastLines, AreOutBeforeAnExit) {
    const Ended ended = end_with_lines(kMoreThanThePipeHolds, [] { std::exit(7); });
    ASSERT_TRUE(WIFEXITED(ended.status));
    EXPECT_EQ(WEXITSTATUS(ended.status), 7);
    EXPECT_EQ(ended.lines, numbered_lines(kMoreThanThePipeHolds));
}

TEST(LastLines, AreOutBeforeAnAbort) {
    const Ended ended = end_with_lines(kMoreThanThePipeHolds, [] { std::abort(); });
    ASSERT_TRUE(WIFSIGNALED(ended.status));
    EXPECT_EQ(WTERMSIG(ended.status), SIGABRT);
    EXPECT_EQ(ended.lines, numbered_lines(kMoreThanThePipeHolds));
}

TEST(LastLines, AreOutBeforeATerminate) {
    const Ended ended = end_with_lines(kMoreThanThePipeHolds, [] { std::terminate(); });
    ASSERT_TRUE(WIFSIGNALED(ended.status));
    EXPECT_EQ(WTERMSIG(ended.status), SIGABRT);
    EXPECT_EQ(ended.lines, numbered_lines(kMoreThanThePipeHolds));
}

// The sanitizers handle the other fatal signals themselves.
TEST(LastLines, AreOutBeforeAFatalSignal) {
    const Ended ended = end_with_lines(kMoreThanThePipeHolds, [] { ::raise(SIGILL); });
    ASSERT_TRUE(WIFSIGNALED(ended.status));
    EXPECT_EQ(WTERMSIG(ended.status), SIGILL);
    EXPECT_EQ(ended.lines, numbered_lines(kMoreThanThePipeHolds));
}

TEST(LastLines, ThatNobodyReadsHoldUpNoEnd) {
    const Ended aborted = end_with_lines(
        kMoreThanThePipeHolds, [] { std::abort(); }, false);
    ASSERT_TRUE(WIFSIGNALED(aborted.status));
    EXPECT_EQ(WTERMSIG(aborted.status), SIGABRT);
    const Ended exited = end_with_lines(
        kMoreThanThePipeHolds, [] { std::exit(7); }, false);
    ASSERT_TRUE(WIFEXITED(exited.status));
    EXPECT_EQ(WEXITSTATUS(exited.status), 7);
}

}  // namespace
}  // namespace whinledge::test
