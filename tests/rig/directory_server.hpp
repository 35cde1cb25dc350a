// A directory server that a test or a tool scripts: entries, binds, counts of what it was asked, and faults.
// One thread, one io_context; it reads with the codec and answers by hand.
#pragma once

// clang-format off
#include <utility>  // ahead of Asio 1.74, which forgets it
#include <boost/asio.hpp>
// clang-format on

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ldap/tls.hpp"
#include "ldap_codec/dn.hpp"
#include "ldap_codec/message.hpp"

namespace whinledge::test {

class DirectoryServer {
public:
    using Tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    // What came.
    struct Seen {
        ldap::Op op = ldap::Op::search;
        std::string dn;              // normal
        std::string as;              // whose it is: by its control, else by the connection's bind
        bool proxied = false;        // by its control
        std::size_t connection = 0;  // counted from 0
        ldap::MessageId id = 0;
        std::string oid;             // of extended requests
        ldap::MessageId target = 0;  // of abandons
    };
    // What is done about one: by default it is served.
    struct Fault {
        bool silent = false;
        bool close = false, reset = false;   // without an answer
        std::optional<std::int32_t> code;    // this result, and nothing done
        std::optional<std::size_t> entries;  // after so many entries the connection ends
        bool half = false;                   // half of the answer's bytes, then the end
        std::string raw;                     // these bytes in place of an answer
        int delay_ms = 0;
    };
    using Script = std::function<Fault(const Seen&)>;

    struct Connection {
        Connection(boost::asio::io_context& io, Tcp::socket s) : socket(std::move(s)), timer(io) {}
        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 16 * 1024> buffer;
        ldap::Bytes bytes;
        std::optional<ldap::TlsSession> tls;
        std::string as;  // bound
        std::size_t number = 0;
        bool ended = false, reading = false, closing = false;
        std::map<ldap::MessageId, std::string> persistent;  // searches that go on, by their base
        std::string page_of;                                // a paged search's base, and where it stands
        std::size_t page_at = 0;
        std::string transaction;
        std::string out;
        bool writing = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    explicit DirectoryServer(boost::asio::io_context& io, std::uint16_t port = 0)
        : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}) {
        address_ = acceptor_.local_endpoint();
        accept();
    }
    ~DirectoryServer() { close(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(address_.port()); }
    Tcp::endpoint endpoint() const { return address_; }

    void add(const std::string& dn, std::size_t size = 10) {
        entries[*ldap::normal_dn(dn)] = std::string(size, 'v');
    }
    // Takes no more from anybody, and answers nothing; then goes on where it stopped.
    void freeze() { frozen_ = true; }
    void thaw() {
        frozen_ = false;
        for (const auto& c : connections) {
            parse(c);
            read(c);
        }
    }
    // Stops listening and ends all connections.
    void close() {
        error_code ignored;
        acceptor_.close(ignored);
        for (const auto& c : connections) end(c);
    }
    // A server that is about to end says so.
    void give_notice() {
        for (const auto& c : connections)
            if (!c->ended) send(c, ldap::notice(ldap::unavailable, "going down"));
    }
    // To the persistent searches under way.
    void push(const std::string& dn) {
        for (const auto& c : connections)
            for (const auto& [id, base] : c->persistent)
                if (!c->ended) send(c, ldap::with_id(id, entry(dn, 4)));
    }
    std::size_t live() const {
        return static_cast<std::size_t>(
            std::count_if(connections.begin(), connections.end(), [](const auto& c) { return !c->ended; }));
    }
    std::size_t count(ldap::Op op) const {
        return static_cast<std::size_t>(
            std::count_if(seen.begin(), seen.end(), [&](const Seen& s) { return s.op == op; }));
    }
    // Of changes, by name: how often each was carried out.
    std::map<std::string, int> changed;

    Script script = [](const Seen&) { return Fault{}; };
    std::map<std::string, std::string> entries;    // by normal name: an attribute's value
    std::map<std::string, std::string> passwords;  // by normal name
    std::vector<Seen> seen;
    std::vector<ConnectionPtr> connections;
    std::shared_ptr<const ldap::TlsContext> tls;
    bool ldaps = false;
    bool keeps_seen = true;

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            socket.set_option(Tcp::no_delay(true));
            connections.push_back(std::make_shared<Connection>(io_, std::move(socket)));
            connections.back()->number = connections.size() - 1;
            if (ldaps) connections.back()->tls.emplace(tls);
            read(connections.back());
            accept();
        });
    }
    void read(const ConnectionPtr& c) {
        if (c->ended || c->reading || frozen_) return;
        c->reading = true;
        c->socket.async_read_some(boost::asio::buffer(c->buffer),
                                  [this, c](error_code failed, std::size_t size) {
                                      c->reading = false;
                                      if (failed == boost::asio::error::operation_aborted) return;
                                      if (failed) {
                                          c->ended = true;
                                          return;
                                      }
                                      const std::string_view bytes(c->buffer.data(), size);
                                      if (c->tls) {
                                          const bool sound = c->tls->take(bytes, c->bytes);
                                          flush_tls(c);
                                          if (!sound) return end(c);
                                      } else {
                                          c->bytes.append(bytes);
                                      }
                                      parse(c);
                                      read(c);
                                  });
    }
    void flush_tls(const ConnectionPtr& c) {
        ldap::Bytes cipher;
        c->tls->drain(cipher);
        c->out.append(cipher);
        write(c);
    }
    void parse(const ConnectionPtr& c) {
        while (!c->ended && !frozen_) {
            const auto framed = ldap::frame(c->bytes, 64 << 20);
            if (framed.found != ldap::Framed::Found::whole) return;
            const ldap::Bytes whole = c->bytes.substr(0, framed.size);
            c->bytes.erase(0, framed.size);
            ldap::Bounds wide;
            wide.message = 64 << 20;
            wide.elements = 1 << 20;
            const auto read = ldap::read_message(whole, wide);
            const auto* const message = std::get_if<ldap::Message>(&read);
            if (!message) return end(c);
            const auto request = ldap::read_request(*message, wide);
            if (!std::get_if<ldap::Request>(&request)) return end(c);
            handle(c, *message, std::get<ldap::Request>(request));
        }
    }

    void handle(const ConnectionPtr& c, const ldap::Message& message, const ldap::Request& request) {
        Seen s;
        s.op = request.op;
        s.dn = ldap::normal_dn(request.dn).value_or("?");
        s.as = c->as;
        s.connection = c->number;
        s.id = message.id;
        s.oid = std::string(request.oid);
        s.target = request.target;
        if (const auto* const control = message.control(ldap::oid::proxied)) {
            const std::string who(control->value.value_or(""));
            s.proxied = true;
            s.as = who.starts_with("dn:") ? ldap::normal_dn(who.substr(3)).value_or("?") : who;
        }
        if (keeps_seen) seen.push_back(s);
        if (request.op == ldap::Op::unbind) return end(c);
        if (request.op == ldap::Op::abandon) {
            c->persistent.erase(request.target);
            return;
        }
        const Fault fault = script(s);
        if (fault.silent) return;
        if (fault.close || fault.reset) {
            error_code ignored;
            if (fault.reset) c->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            return end(c);
        }
        if (!fault.raw.empty()) return send(c, ldap::bytes(fault.raw));
        const Answer answer =
            fault.code ? Answer{{}, simple(request, *fault.code), false} : serve(c, message, request, s);
        if (fault.delay_ms == 0) return reply(c, message.id, answer, fault);
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(fault.delay_ms));
        timer->async_wait([this, c, id = message.id, answer, fault, timer](error_code cancelled) {
            if (!cancelled && !c->ended) reply(c, id, answer, fault);
        });
    }

    struct Answer {
        std::vector<ldap::Bytes> entries;
        ldap::Bytes result;  // empty: none comes
        bool starts_tls = false;
    };
    void reply(const ConnectionPtr& c, ldap::MessageId id, const Answer& answer, const Fault& fault) {
        std::size_t left = fault.entries.value_or(answer.entries.size());
        for (const ldap::Bytes& each : answer.entries) {
            if (left == 0) break;
            --left;
            send(c, ldap::with_id(id, each));
        }
        if (fault.entries) return end_later(c);
        if (answer.result.empty()) return;
        const ldap::Bytes whole = ldap::with_id(id, answer.result);
        if (fault.half) {
            send(c, whole.substr(0, whole.size() / 2));
            return end_later(c);
        }
        send(c, whole);
        if (answer.starts_tls) c->tls.emplace(tls);
    }
    static ldap::Bytes simple(const ldap::Request& request, std::int32_t code, std::string_view text = {}) {
        return ldap::result_tail(*ldap::response_of(request.op), code, text);
    }
    static ldap::Bytes entry(const std::string& dn, std::size_t size) {
        ldap::BerWriter to;
        to.begin(static_cast<std::uint8_t>(ldap::Op::entry)).octets(dn).begin(0x30).begin(0x30).octets("cn");
        to.begin(0x31).octets(std::string(size, 'v')).end().end().end().end();
        return to.take();
    }

    Answer serve(const ConnectionPtr& c, const ldap::Message& message, const ldap::Request& request,
                 const Seen& s) {
        using ldap::Op;
        switch (request.op) {
            case Op::bind:
                return {{}, bind(c, request, s.dn), false};
            case Op::search:
                return search(c, message, request, s.dn);
            case Op::compare:
                return {{},
                        simple(request, entries.contains(s.dn) ? ldap::compare_true : ldap::no_such_object),
                        false};
            case Op::add:
                ++changed[s.dn];
                entries.emplace(s.dn, "added");
                return {{}, simple(request, ldap::success), false};
            case Op::extended:
                return extended(c, request, s);
            default:
                ++changed[s.dn];
                return {{}, simple(request, ldap::success), false};
        }
    }
    ldap::Bytes bind(const ConnectionPtr& c, const ldap::Request& request, const std::string& dn) {
        c->as.clear();
        if (!request.simple) {
            if (request.credentials != "second") return simple(request, ldap::sasl_bind_in_progress);
            c->as = "sasl";
            return simple(request, ldap::success);
        }
        if (request.dn.empty()) return simple(request, ldap::success);
        const auto at = passwords.find(dn);
        if (at == passwords.end() || at->second != request.credentials)
            return simple(request, ldap::invalid_credentials);
        c->as = dn;
        return simple(request, ldap::success);
    }
    Answer search(const ConnectionPtr& c, const ldap::Message& message, const ldap::Request& request,
                  const std::string& base) {
        std::vector<std::pair<std::string, std::string>> found;
        for (const auto& [dn, value] : entries) {
            const bool within = request.scope == 0 ? dn == base : ldap::is_under(dn, base);
            if (within) found.emplace_back(dn, value);
        }
        Answer answer;
        if (message.control(ldap::oid::persistent) || message.control(ldap::oid::sync)) {
            for (const auto& [dn, value] : found) answer.entries.push_back(entry(dn, value.size()));
            c->persistent[message.id] = base;
            return answer;
        }
        if (const auto* const paged = message.control(ldap::oid::paged)) return page(c, *paged, found, base);
        for (const auto& [dn, value] : found) answer.entries.push_back(entry(dn, value.size()));
        answer.result = simple(request, found.empty() ? ldap::no_such_object : ldap::success);
        return answer;
    }
    // A cookie is good on the connection that it was given on, as OpenLDAP has it.
    Answer page(const ConnectionPtr& c, const ldap::Control& control,
                const std::vector<std::pair<std::string, std::string>>& found, const std::string& base) {
        ldap::BerReader outer(*control.value);
        ldap::BerReader inner(outer.next(0x30)->body);
        const auto size = static_cast<std::size_t>(*inner.number(0x02));
        const std::string cookie(*inner.octets());
        Answer answer;
        const std::string good = "page of " + base + " " + std::to_string(c->number);
        if (!cookie.empty() && (cookie != good || c->page_of != base)) {
            answer.result =
                ldap::result_tail(ldap::Op::search_done, ldap::unwilling_to_perform, "a wrong cookie");
            return answer;
        }
        if (cookie.empty()) c->page_at = 0;
        c->page_of = base;
        for (std::size_t i = 0; i < size && c->page_at < found.size(); ++i, ++c->page_at)
            answer.entries.push_back(entry(found[c->page_at].first, 4));
        const bool last = c->page_at >= found.size();
        ldap::BerWriter value, to;
        value.begin(0x30).number(0).octets(last ? "" : good).end();
        to.raw(ldap::result_tail(ldap::Op::search_done, ldap::success, ""));
        to.begin(0xa0).begin(0x30).octets(ldap::oid::paged).octets(value.take()).end().end();
        answer.result = to.take();
        return answer;
    }
    Answer extended(const ConnectionPtr& c, const ldap::Request& request, const Seen& s) {
        const auto result = [&](std::int32_t code, std::string_view value = {}) {
            ldap::BerWriter to;
            to.begin(static_cast<std::uint8_t>(ldap::Op::extended_response))
                .number(code, 0x0a)
                .octets("")
                .octets("");
            if (!value.empty()) to.octets(value, 0x8b);
            return to.end().take();
        };
        if (request.oid == ldap::oid::start_tls)
            return {{}, result(tls ? ldap::success : ldap::protocol_error), tls != nullptr};
        if (request.oid == ldap::oid::who_am_i)
            return {{}, result(0, s.as.empty() ? "" : "dn:" + s.as), false};
        if (request.oid == ldap::oid::start_transaction) {
            c->transaction = "t" + std::to_string(c->number);
            return {{}, result(0, c->transaction), false};
        }
        if (request.oid == ldap::oid::end_transaction) {
            const bool known = !c->transaction.empty();
            c->transaction.clear();
            return {{}, result(known ? ldap::success : ldap::unwilling_to_perform), false};
        }
        ++changed[s.oid];
        return {{}, result(0), false};
    }

    void send(const ConnectionPtr& c, const ldap::Bytes& bytes) {
        if (c->tls) {
            c->tls->put(bytes);
            return flush_tls(c);
        }
        c->out.append(bytes);
        write(c);
    }
    void write(const ConnectionPtr& c) {
        if (c->writing || c->out.empty() || c->ended) return;
        c->writing = true;
        const auto out = std::make_shared<std::string>(std::move(c->out));
        c->out.clear();
        boost::asio::async_write(c->socket, boost::asio::buffer(*out),
                                 [this, c, out](error_code failed, std::size_t) {
                                     c->writing = false;
                                     if (failed) return;
                                     if (c->ended) return;
                                     write(c);
                                     if (c->out.empty() && !c->writing && c->closing) end(c);
                                 });
    }
    void end_later(const ConnectionPtr& c) {
        c->closing = true;
        if (!c->writing && c->out.empty()) end(c);
    }
    void end(const ConnectionPtr& c) {
        error_code ignored;
        c->ended = true;
        c->socket.close(ignored);
    }

    boost::asio::io_context& io_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint address_;
    bool frozen_ = false;
};

}  // namespace whinledge::test
