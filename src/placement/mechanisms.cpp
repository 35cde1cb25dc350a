#include "placement/mechanisms.hpp"

#include <string_view>

namespace whinledge::placement {

namespace {

struct Named {
    std::string_view name;
    bool Mechanisms::*member;
};

constexpr Named kNamed[] = {
#define WHINLEDGE_MECHANISM(member, name) {name, &Mechanisms::member},
#include "placement/mechanisms.def"
#undef WHINLEDGE_MECHANISM
};

}  // namespace

MechanismsResult<Mechanisms> all_without(std::span<const std::string> names) {
    Mechanisms mechanisms;
    for (const std::string& name : names) {
        const Named* found = nullptr;
        for (const Named& named : kNamed)
            if (named.name == name) found = &named;
        if (!found)
            return UnknownMechanism{"'" + name + "' is no mechanism: give some of " + mechanism_names()};
        mechanisms.*(found->member) = false;
    }
    return mechanisms;
}

std::string mechanism_names() {
    std::string names;
    for (const Named& named : kNamed) names.append(names.empty() ? "" : ", ").append(named.name);
    return names;
}

}  // namespace whinledge::placement
