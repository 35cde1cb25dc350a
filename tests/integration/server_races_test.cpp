// What crosses on connections to servers: bytes, ends and resets that come between two steps of ours, and
// what is known then of whether a request has run.
#include "http/call.hpp"
#include "http/transport.hpp"
#include "rig/engine_rig.hpp"
#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

// ---- Nobody's attempts ----------------------------------------------------------------------------------

struct PlainCall final : HttpCall {
    Upstream::Request outgoing(Millis) const override {
        Upstream::Request request;
        request.head = HeadText::request("POST", "/deposit").add("Content-Length", "0").whole();
        return request;
    }
    Outcome outcome_of(const http::response_header<>&) const override { return Outcome::completed; }
    void served(std::unique_ptr<Answer>) noexcept override { end = End::served; }
    void refused(Millis) noexcept override { end = End::refused; }
    void failed(Failure) noexcept override { end = End::failed; }
    End end = End::none;
};

// No connection that comes up carries a request whose client has gone, whether attempts may be cancelled or
// not, and the module hears that it never ran.
TEST(ServerRaces, AConnectThatComesUpForNobodyCarriesNothing) {
    struct Watch final : Observer {
        void event(const Pool&, Millis, const Event& event) noexcept override {
            if (const auto* const ended = std::get_if<AttemptEnded>(&event))
                outcomes.push_back(ended->outcome);
        }
        std::vector<Outcome> outcomes;
    };
    for (const bool may_cancel : {true, false})
        for (const bool detach : {true, false})
            for (const std::uint32_t class_index : {0u, 1u, 2u}) {
                SCOPED_TRACE(testing::Message() << may_cancel << detach << class_index);
                asio::io_context io;
                Log log;
                TestTime time;
                Watch watch;
                HttpTransport transport{io, log, {5000, 10000, 64, 0, 0, 0}};
                Engine engine{time, {}};
                ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
                Pool::Options options;
                options.decisions = pool_settings();
                options.decisions.may_cancel = may_cancel;
                Pool& pool = engine.add_pool(std::move(options), transport, &watch, {});
                pool.start();
                pool.members({1, true, {member("s", server.address())}});
                const auto call = std::make_shared<PlainCall>();
                pool.take(call, {class_index, ~0U, 5000, 0, false});
                ASSERT_EQ(transport.upstream().stats().opened, 1u) << "the connect is under way";
                pool.gone(call->id, detach);
                run_until(io, [&] { return pool.open() == 0 && transport.upstream().stats().open == 0; });
                // Whatever was written is there by now: the server reads up to the end.
                if (!may_cancel || detach) run_until(io, [&] { return server.ended() == 1; });
                EXPECT_EQ(server.requests.size(), 0u);
                EXPECT_EQ(
                    watch.outcomes,
                    (std::vector<Outcome>{may_cancel && !detach ? Outcome::recalled : Outcome::superseded}));
                EXPECT_EQ(call->end, End::none);
            }
}

}  // namespace
}  // namespace whinledge::test
