// The list that stands in the services file: told once, and once for each reload that changes it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "engine/members.hpp"

namespace whinledge {

class StaticList : public MemberSource {
public:
    StaticList(boost::asio::io_context& io, std::vector<Member> members, Callbacks callbacks);
    ~StaticList() override;
    StaticList(const StaticList&) = delete;
    StaticList& operator=(const StaticList&) = delete;

    void start() override;
    void fetch() override;
    // A reload: told from the loop, as a whole list, unless it tells nothing new.
    void replace(std::vector<Member> members);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace whinledge
