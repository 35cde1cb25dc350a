#include "feed/servers_list_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "io/address.hpp"
#include "servers_list/version_id.hpp"

namespace whinledge::feed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kPageTimeout{1000};
constexpr std::uint64_t kMostPageBytes = 8U << 20;

Millis now() {
    return std::chrono::duration<Millis, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string text_of(const Json& entry, const char* key) {
    const auto value = entry.find(key);
    return value != entry.end() && value->is_string() ? value->get<std::string>() : std::string();
}

int number_of(const Json& entry, const char* key) {
    const auto value = entry.find(key);
    if (value == entry.end() || !value->is_number()) return 0;
    const double number = value->get<double>();
    return number > 0 && number < 1e9 ? static_cast<int>(number) : 0;
}

std::optional<wire::ListedServer> server_of(const Json& entry) {
    if (!entry.is_object()) return std::nullopt;
    wire::ListedServer server;
    server.id = text_of(entry, "id");
    server.service_name = text_of(entry, "service");
    server.address = text_of(entry, "address");
    if (server.id.empty() || server.service_name.empty() || server.address.empty()) return std::nullopt;
    server.zone = text_of(entry, "zone");
    server.version = servers_list::version_id(text_of(entry, "version"));
    server.draining = text_of(entry, "state") == "draining";
    server.slots = number_of(entry, "slots");
    server.cold_left_ms = number_of(entry, "coldLeftMs");
    return server;
}

std::string query_value(const std::string& text) {
    static const char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                           c == '-' || c == '_' || c == '.' || c == '~';
        if (plain)
            out += c;
        else
            out.append({'%', kHex[byte >> 4], kHex[byte & 15]});
    }
    return out;
}

}  // namespace

ListResult<ListPage> parse_list_page(std::string_view text) {
    const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    const ListError unreadable{ListFailure::unreadable,
                               "the platform's answer holds no `servers`: check cloudApi.address"};
    if (!json.is_object()) return unreadable;
    const auto servers = json.find("servers");
    if (servers == json.end() || !servers->is_array()) return unreadable;
    ListPage page;
    page.servers.reserve(servers->size());
    for (const Json& entry : *servers)
        if (auto server = server_of(entry)) page.servers.push_back(std::move(*server));
    page.next = text_of(json, "nextPage");
    return page;
}

class ServersListClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, std::string address) : io_(io), address_(std::move(address)), pause_(io) {}

    void fetch(Done done, Millis patience, std::function<void()> on_wait) {
        done_ = std::move(done);
        on_wait_ = std::move(on_wait);
        reading_ = ListReading(now(), patience);
        calls_ = 0;
        page();
    }
    bool busy() const { return static_cast<bool>(done_); }

    void stop() {
        done_ = nullptr;
        on_wait_ = nullptr;
        pause_.cancel();
        drop();
    }

private:
    using Stream = std::shared_ptr<beast::tcp_stream>;

    void page() {
        ++calls_;
        if (stream_) return ask(true);
        connect();
    }

    void page_later() {
        pause_.expires_after(std::chrono::milliseconds(static_cast<long>(ListReading::kPause)));
        pause_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled && self->done_) self->page();
        });
        if (on_wait_) on_wait_();
    }

    void connect() {
        const auto endpoint = parse_endpoint<asio::ip::tcp>(address_);
        if (!endpoint) return fail_later("cloudApi.address is no IP:PORT: " + address_);
        stream_ = std::make_shared<beast::tcp_stream>(io_);
        stream_->expires_after(kPageTimeout);
        stream_->async_connect(*endpoint, [self = shared_from_this(), stream = stream_](error_code failed) {
            if (self->stream_ != stream) return;
            if (failed) return self->fail(failed);
            error_code ignored;
            stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->ask(false);
        });
    }

    void ask(bool kept) {
        const std::string& next = reading_.page();
        request_ = {http::verb::get, next.empty() ? "/servers" : "/servers?page=" + query_value(next), 11};
        request_.set(http::field::host, address_);
        request_.keep_alive(true);
        stream_->expires_after(kPageTimeout);
        http::async_write(
            *stream_, request_,
            [self = shared_from_this(), stream = stream_, kept](error_code failed, std::size_t) {
                if (self->stream_ != stream) return;
                if (failed) return self->broken(kept, failed);
                self->read(kept);
            });
    }

    void read(bool kept) {
        parser_.emplace();
        parser_->body_limit(kMostPageBytes);
        buffer_.clear();
        http::async_read(*stream_, buffer_, *parser_,
                         [self = shared_from_this(), stream = stream_, kept](error_code failed, std::size_t) {
                             if (self->stream_ != stream) return;
                             if (failed) return self->broken(kept, failed);
                             self->answered();
                         });
    }

    // A kept connection may have been closed by the platform meanwhile: once more on a new one.
    void broken(bool kept, error_code failed) {
        if (!kept || failed == beast::error::timeout) return fail(failed);
        drop();
        connect();
    }

    void answered() {
        const auto& answer = parser_->get();
        const unsigned status = answer.result_int();
        if (!answer.keep_alive()) drop();
        if (status == 429) return go_on(reading_.rate_limited(now()));
        if (status != 200)
            return finish(ListError{ListFailure::refused,
                                    std::string("the platform answers ").append(std::to_string(status))});
        ListResult<ListPage> page_read = parse_list_page(answer.body());
        if (!page_read) return finish(page_read.error());
        go_on(reading_.took(std::move(page_read).value()));
    }

    void go_on(ListReading::Step step) {
        switch (step) {
            case ListReading::Step::ask:
                return page();
            case ListReading::Step::ask_later:
                return page_later();
            case ListReading::Step::complete:
                return finish(Reading{reading_.take_servers(), calls_});
            case ListReading::Step::endless:
                return finish(ListError{ListFailure::unreadable, "the platform's list does not end"});
            case ListReading::Step::give_up:
                return finish(
                    ListError{ListFailure::rate_limited, "the platform takes no more calls now; wait"});
        }
    }

    void fail(error_code failed) {
        drop();
        const bool late = failed == beast::error::timeout;
        finish(ListError{late ? ListFailure::timed_out : ListFailure::unreachable,
                         "the platform's list at " + address_ + ": " + failed.message()});
    }
    void fail_later(std::string message) {
        asio::post(io_, [self = shared_from_this(), message = std::move(message)] {
            self->finish(ListError{ListFailure::unreachable, message});
        });
    }

    void finish(ListResult<Reading> result) {
        if (const Done done = std::exchange(done_, nullptr)) done(std::move(result));
    }

    void drop() {
        if (const Stream stream = std::exchange(stream_, nullptr)) stream->close();
    }

    asio::io_context& io_;
    const std::string address_;
    asio::steady_timer pause_;
    Done done_;
    std::function<void()> on_wait_;
    ListReading reading_;
    int calls_ = 0;  // of this reading
    Stream stream_;  // null: none
    beast::flat_buffer buffer_;
    http::request<http::empty_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

ServersListClient::ServersListClient(asio::io_context& io, std::string address)
    : impl_(std::make_shared<Impl>(io, std::move(address))) {}
ServersListClient::~ServersListClient() { impl_->stop(); }
void ServersListClient::fetch(Done done, Millis patience, std::function<void()> on_wait) {
    impl_->fetch(std::move(done), patience, std::move(on_wait));
}
void ServersListClient::cancel() { impl_->stop(); }
bool ServersListClient::busy() const { return impl_->busy(); }

}  // namespace whinledge::feed
