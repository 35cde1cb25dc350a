#include "fleet/processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <fstream>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace whinledge::fleetrig {

namespace {

std::string quoted(const std::string& text) { return '"' + text + '"'; }
std::string span_text(Millis length) { return quoted(std::to_string(std::lround(length)) + "ms"); }

int shell_status(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

}  // namespace

std::string NodeFile::text() const {
    std::string text =
        "[process]\ndescriptors = 256\nbytes = \"8MiB\"\nrequests = 200\ndrain = " + span_text(drain) +
        "\n\n[[listener]]\nname = \"http\"\naddress = " + quoted(listener) +
        "\n\n[pool.servers]\n[pool.servers.members]\nsource = \"list\"\nlist = [";
    for (const std::string& server : servers)
        text += (&server == servers.data() ? "" : ", ") + quoted(server);
    text += "]\n\n[[route]]\nname = \"all\"\npool = \"servers\"\n";
    text += "\n[fleet]\nname = " + quoted(kFleet) + "\nself = " + quoted(self) +
            "\ncontrol = " + quoted(control) + "\nprobe_period = " + span_text(period) + "\n";
    for (const auto& [name, address] : members)
        text += "[[fleet.member]]\nname = " + quoted(name) + "\naddress = " + quoted(address) + "\n";
    return text + limits;
}

Processes::Processes(asio::io_context& io, std::string binary, std::filesystem::path folder,
                     const Experiment& experiment, const Places& places)
    : binary_(std::move(binary)),
      folder_(std::move(folder)),
      experiment_(experiment),
      places_(places),
      children_(io, SIGCHLD),
      pids_(experiment.nodes()) {
    // The name of a Unix socket has 107 characters at most; a result folder's may be long.
    std::string name = (std::filesystem::temp_directory_path() / "fleet-rig-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error(name + ": can't be made");
    sockets_ = name;
    std::vector<Member> all(experiment_.members);
    std::iota(all.begin(), all.end(), 0);
    fleets_.assign(experiment_.nodes(), all);
    limits_.assign(experiment_.nodes(), experiment_.limits);
    for (Node n = 0; n < experiment_.nodes(); ++n) write(n, all);
    wait();
}

Processes::~Processes() {
    for (Node n = 0; n < pids_.size(); ++n) kill(n);
    std::error_code ignored;
    std::filesystem::remove_all(sockets_, ignored);
}

std::filesystem::path Processes::log(Node node) const {
    return folder_ / (experiment_.node_name(node) + ".log");
}

void Processes::write(Node node, const std::vector<Member>& fleet) const {
    NodeFile file;
    const Member self = experiment_.member_of(node);
    file.self = Experiment::name(self);
    file.control = control(node);
    file.listener = text_of(places_.listener_of(node));
    file.period = experiment_.period;
    file.drain = experiment_.drain;
    for (std::size_t i = 0; i < experiment_.servers; ++i)
        file.servers.push_back(text_of(places_.relayed_server(node, i)));
    file.members.emplace_back(file.self, text_of(places_.datagrams_of(node)));
    for (const Member m : fleet)
        if (m != self) file.members.emplace_back(Experiment::name(m), text_of(places_.relayed(node, m)));
    file.limits = limits_[node];
    std::ofstream out(folder_ / (experiment_.node_name(node) + ".toml"));
    out << file.text();
    if (!out.flush())
        throw std::runtime_error("the file of " + experiment_.node_name(node) + " can't be written");
}

void Processes::list(Node node, const std::vector<Member>& fleet) {
    fleets_[node] = fleet;
    write(node, fleet);
}

void Processes::limit(Node node, const std::string& limits) {
    limits_[node] = limits;
    write(node, fleets_[node]);
}

void Processes::start(Node node) {
    if (runs(node)) throw std::logic_error(experiment_.node_name(node) + " runs already");
    const std::string file = (folder_ / (experiment_.node_name(node) + ".toml")).string();
    const int log = ::open(this->log(node).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) throw std::runtime_error(this->log(node).string() + ": can't be written");
    const char* const words[] = {binary_.c_str(), "--config", file.c_str(), nullptr};
    const pid_t rig = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        // Ends with the rig, and has nothing of its sockets: one that it held would not be closed when the
        // rig closes it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != rig) ::_exit(126);
        ::dup2(log, STDERR_FILENO);
        ::dup2(log, STDOUT_FILENO);
        ::close_range(3, ~0u, 0);
        sigset_t none;
        ::sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        ::execv(words[0], const_cast<char* const*>(words));
        ::_exit(127);
    }
    ::close(log);
    if (child < 0) throw std::runtime_error("no process can be started: too many, or no memory");
    pids_[node] = child;
}

bool Processes::signal(Node node, int signal) { return runs(node) && ::kill(pids_[node], signal) == 0; }

void Processes::kill(Node node) {
    if (!runs(node)) return;
    ::kill(pids_[node], SIGKILL);
    // The end of another one interrupts the wait, as SIGCHLD has a handler.
    while (::waitpid(pids_[node], nullptr, 0) < 0 && errno == EINTR) {
    }
    pids_[node] = 0;
}

void Processes::wait() {
    children_.async_wait([this](boost::system::error_code failed, int) {
        if (failed) return;
        reap();
        wait();
    });
}

void Processes::reap() {
    for (Node n = 0; n < pids_.size(); ++n) {
        int status = 0;
        if (!runs(n) || ::waitpid(pids_[n], &status, WNOHANG) != pids_[n]) continue;
        pids_[n] = 0;
        if (on_end) on_end(n, shell_status(status));
    }
}

Millis Processes::busy(Node node) const {
    if (!runs(node)) return 0;
    std::ifstream stat("/proc/" + std::to_string(pids_[node]) + "/stat");
    std::string text;
    std::getline(stat, text);
    // proc(5): behind the name, which may hold anything, fields 3 on; 14 and 15 are user and system time.
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
    std::string skipped;
    for (int i = 3; i < 14; ++i) fields >> skipped;
    double user = 0, system = 0;
    fields >> user >> system;
    return (user + system) * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::uint64_t Processes::resident_kib(Node node) const {
    if (!runs(node)) return 0;
    std::ifstream status("/proc/" + std::to_string(pids_[node]) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6));
    return 0;
}

}  // namespace whinledge::fleetrig
