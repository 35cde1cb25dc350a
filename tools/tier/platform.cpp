#include "tier/platform.hpp"

#include <unistd.h>

#include <nlohmann/json.hpp>

namespace whinledge::tier_rig {
namespace {

constexpr Millis kReadinessPeriod = 1000, kReadinessLimit = 900;
constexpr int kMissesToLeave = 2;
constexpr int kSubnets = 250;  // 127.1 to 127.250
constexpr std::size_t kFirstServerNet = 100;
constexpr std::uint16_t kListPort = 18142, kServerPort = 8080;

// The value of `name` in a query; empty: there is none.
std::string query_value(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    if (query == std::string::npos) return {};
    std::string rest = target.substr(query + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return {};
}

nlohmann::json entry_json(const ServerEntry& server) {
    nlohmann::json entry{{"id", server.id},
                         {"service", server.service},
                         {"address", server.address},
                         {"zone", server.zone},
                         {"version", "v1"},
                         {"slots", server.slots},
                         {"state", server.draining ? "draining" : "ready"},
                         {"coldLeftMs", 0}};
    if (server.engine) {
        entry["phase"] = "both";
        entry["models"] = {{{"name", "m"}, {"version", 1}, {"addOns", nlohmann::json::array()}}};
    }
    return entry;
}

}  // namespace

Platform::Platform(World& world, Options options) : world_(world), options_(options) {
    service_ = std::make_shared<HttpService>(
        world, options.address, [this](Stream& stream, Request& request) { return answer(stream, request); });
}

void Platform::start() {
    service_->start();
    begin(world_, ask_readiness());
}

void Platform::put(const ServerEntry& server) {
    const auto known = servers_.find(server.id);
    const bool drains = server.draining && (known == servers_.end() || !known->second.draining);
    if (drains) world_.record.drains.push_back({server.id, world_.now() + options_.delay});
    servers_[server.id] = server;
    changed();
}

void Platform::remove(const std::string& server_id) {
    const auto known = servers_.find(server_id);
    if (known == servers_.end()) return;
    if (!known->second.draining) world_.record.drains.push_back({server_id, world_.now() + options_.delay});
    servers_.erase(known);
    changed();
}

void Platform::changed() {
    Change change{world_.now(), {}};
    for (const auto& [id, server] : servers_) change.servers.push_back(server);
    history_.push_back(std::move(change));
    while (history_.size() > 1 && history_[1].at < world_.now() - 2 * options_.delay) history_.pop_front();
}

// The list as it stood `delay` ago; what was there at the very start is shown at once.
const std::vector<ServerEntry>& Platform::shown() const {
    static const std::vector<ServerEntry> none;
    const std::vector<ServerEntry>* list = history_.empty() ? &none : &history_.front().servers;
    for (const Change& change : history_)
        if (change.at <= world_.now() - options_.delay) list = &change.servers;
    return *list;
}

bool Platform::takes_call() {
    const Millis now = world_.now();
    while (!recent_calls_.empty() && recent_calls_.front() < now - 1000) recent_calls_.pop_front();
    if (static_cast<double>(recent_calls_.size()) >= options_.calls_per_s) return false;
    recent_calls_.push_back(now);
    return true;
}

Task<bool> Platform::answer(Stream& stream, Request& request) {
    const std::string target = text(request.target());
    Response response(http::status::ok, 11);
    response.keep_alive(request.keep_alive());
    ++calls_;
    if (!takes_call()) {
        ++rejected_;
        response.result(http::status::too_many_requests);
    } else if (target.substr(0, target.find('?')) != "/servers") {
        response.result(http::status::not_found);
    } else {
        const std::string zone = query_value(target, "zone"), page = query_value(target, "page");
        std::size_t from = page.starts_with("p-") ? std::stoul(page.substr(2)) : 0, place = 0;
        nlohmann::json list{{"servers", nlohmann::json::array()}, {"nextPage", nullptr}};
        for (const ServerEntry& server : shown()) {
            if (!zone.empty() && server.zone != zone) continue;
            if (place >= from + options_.page_size) {
                list["nextPage"] = std::string("p-").append(std::to_string(place));
                break;
            }
            if (place++ >= from) list["servers"].push_back(entry_json(server));
        }
        response.set(http::field::content_type, "application/json");
        response.body() = list.dump();
    }
    co_return co_await respond(stream, std::move(response));
}

void Platform::put_sidecar(const Sidecar& sidecar) {
    Known& known = sidecars_[sidecar.machine];
    known.sidecar = sidecar;
}
void Platform::remove_sidecar(const std::string& machine) { sidecars_.erase(machine); }

Task<void> Platform::ask_readiness() {
    while (!world_.ending) {
        for (auto& [machine, known] : sidecars_)
            if (!std::exchange(known.asked, true)) begin(world_, ask(machine, known.sidecar.readiness));
        co_await sleep_for(world_, kReadinessPeriod);
    }
}

Task<void> Platform::ask(std::string machine, Tcp::endpoint address) {
    Request request(http::verb::get, "/ready", 11);
    request.set(http::field::host, address.address().to_string());
    request.set(http::field::connection, "close");
    const auto response = co_await exchange(world_, address, std::move(request), kReadinessLimit);
    const auto known = sidecars_.find(machine);
    if (known == sidecars_.end()) co_return;
    known->second.asked = false;
    known->second.misses = response && response->result_int() == 200 ? 0 : known->second.misses + 1;
}

std::optional<Sidecar> Platform::way_in(const std::string& zone, std::uint64_t client_hash) const {
    std::vector<const Sidecar*> here, here_in, elsewhere_in;
    for (const auto& [machine, known] : sidecars_) {
        const bool in = known.misses < kMissesToLeave;
        if (known.sidecar.zone == zone) {
            here.push_back(&known.sidecar);
            if (in) here_in.push_back(&known.sidecar);
        } else if (in) {
            elsewhere_in.push_back(&known.sidecar);
        }
    }
    const auto& chosen = here_in.empty() && !elsewhere_in.empty() ? elsewhere_in
                         : here_in.size() * 2 < here.size()       ? here
                                                                  : here_in;
    if (chosen.empty()) return std::nullopt;
    return *chosen[client_hash % chosen.size()];
}

std::vector<Sidecar> Platform::sidecars() const {
    std::vector<Sidecar> all;
    for (const auto& [machine, known] : sidecars_) all.push_back(known.sidecar);
    return all;
}

std::size_t Platform::ready() const {
    std::size_t count = 0;
    for (const auto& [machine, known] : sidecars_) count += known.misses < kMissesToLeave;
    return count;
}

ClaimedNet claim_net(World& world, Platform::Options options, int subnet) {
    const int first = subnet > 0 ? subnet : 1 + static_cast<int>(::getpid() % kSubnets);
    ClaimedNet claimed;
    for (int tried = 0; !claimed.platform; ++tried) {
        claimed.subnet = 1 + (first - 1 + tried) % kSubnets;
        const std::string net = std::string("127.").append(std::to_string(claimed.subnet));
        options.address = {asio::ip::make_address(net + ".200.1"), kListPort};
        claimed.options = options;
        try {
            claimed.platform = std::make_unique<Platform>(world, options);
        } catch (const boost::system::system_error& error) {
            const bool is_last = subnet > 0 || tried + 1 == kSubnets;
            if (is_last || error.code() != asio::error::address_in_use) throw;
        }
    }
    return claimed;
}

Tcp::endpoint server_endpoint(int subnet, std::size_t zone, int last) {
    const std::string ip = std::string("127.").append(std::to_string(subnet)) + "." +
                           std::to_string(kFirstServerNet + zone) + "." + std::to_string(last);
    return {asio::ip::make_address(ip), kServerPort};
}

}  // namespace whinledge::tier_rig
