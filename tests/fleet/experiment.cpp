#include "fleet/experiment.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <numeric>

#include "config/document.hpp"

namespace whinledge::fleetrig {

namespace {

using config::Document;
using config::Entry;
using config::Value;

constexpr std::size_t kMostMembers = 4000, kMostServers = 64;

template <class T, std::size_t n>
using Words = std::array<std::pair<std::string_view, T>, n>;

constexpr Words<Step::Do, 18> kSteps{{{"kill", Step::Do::kill},
                                      {"stop", Step::Do::stop},
                                      {"continue", Step::Do::go_on},
                                      {"terminate", Step::Do::terminate},
                                      {"start", Step::Do::start},
                                      {"restart", Step::Do::restart},
                                      {"impostor", Step::Do::impostor},
                                      {"link", Step::Do::link},
                                      {"cut", Step::Do::cut},
                                      {"servers", Step::Do::servers},
                                      {"tape", Step::Do::tape},
                                      {"play", Step::Do::play},
                                      {"noise", Step::Do::noise},
                                      {"flood", Step::Do::flood},
                                      {"lie", Step::Do::lie},
                                      {"list", Step::Do::list},
                                      {"limits", Step::Do::limits},
                                      {"demand", Step::Do::demand}}};
using Kind = Condition::Kind;
constexpr Words<Kind, 14> kConditions{{{"all_hold", Kind::all_hold},
                                       {"never", Kind::never},
                                       {"views_equal", Kind::views_equal},
                                       {"standing", Kind::standing},
                                       {"never_standing", Kind::never_standing},
                                       {"answered", Kind::answered},
                                       {"no_repeats", Kind::no_repeats},
                                       {"datagrams", Kind::datagrams},
                                       {"socket", Kind::socket},
                                       {"ended", Kind::ended},
                                       {"memory", Kind::memory},
                                       {"busy", Kind::busy},
                                       {"received", Kind::received},
                                       {"open", Kind::open}}};

template <class T, std::size_t n>
std::string_view word_of(const Words<T, n>& words, T value) {
    for (const auto& [word, is] : words)
        if (is == value) return word;
    return "?";
}

[[noreturn]] void fault(const std::string& path, int line, const std::string& what) {
    throw ExperimentError(path + ":" + std::to_string(line) + ": " + what);
}

std::string join(const std::vector<std::string>& parts) {
    std::string all;
    for (const std::string& part : parts) all += (all.empty() ? "" : ", ") + part;
    return all;
}

// A table whose keys are taken one by one; what is left over is not known.
class Table {
public:
    Table(const Value& value, const std::string& path, Millis period)
        : path_(path), line_(value.at.line), period_(period) {
        if (value.type != Value::Type::table) fail("a table was expected");
        for (const Entry& entry : value.entries) left_.push_back(&entry);
    }
    [[noreturn]] void fail(const std::string& what) const { fault(path_, line_, what); }
    int line() const { return line_; }

    const Value* take(std::string_view key) {
        const auto at =
            std::find_if(left_.begin(), left_.end(), [&](const Entry* e) { return e->key == key; });
        if (at == left_.end()) return nullptr;
        const Value* const value = &(*at)->value;
        left_.erase(at);
        return value;
    }
    bool has(std::string_view key) const {
        return std::any_of(left_.begin(), left_.end(), [&](const Entry* e) { return e->key == key; });
    }
    void end() const {
        if (!left_.empty())
            fault(path_, left_.front()->at.line, "'" + left_.front()->key + "' is not known here");
    }

    std::optional<std::string> text(std::string_view key) {
        const Value* const value = take(key);
        if (!value) return std::nullopt;
        if (value->type != Value::Type::text) wrong(key, *value, "a text");
        return value->text;
    }
    std::optional<double> number(std::string_view key, double least, double most) {
        const Value* const value = take(key);
        if (!value) return std::nullopt;
        const bool whole = value->type == Value::Type::integer;
        if (!whole && value->type != Value::Type::number) wrong(key, *value, "a number");
        const double is = whole ? static_cast<double>(value->integer) : value->number;
        if (!(is >= least && is <= most)) wrong(key, *value, "within its bounds");
        return is;
    }
    std::size_t whole(std::string_view key, std::size_t least, std::size_t most, std::size_t otherwise) {
        const Value* const value = take(key);
        if (!value) return otherwise;
        if (value->type != Value::Type::integer || value->integer < static_cast<std::int64_t>(least) ||
            value->integer > static_cast<std::int64_t>(most))
            wrong(key, *value, "a whole number within its bounds");
        return static_cast<std::size_t>(value->integer);
    }
    bool flag(std::string_view key) {
        const Value* const value = take(key);
        if (value && value->type != Value::Type::flag) wrong(key, *value, "true or false");
        return value && value->flag;
    }
    // "250ms", "1.5s", "2m", or "15P" in probe periods.
    Millis time(std::string_view key, Millis otherwise = 0) {
        const Value* const value = take(key);
        if (!value) return otherwise;
        if (value->type != Value::Type::text) wrong(key, *value, "a time as \"250ms\" or \"15P\"");
        return time_of(*value, key);
    }
    Millis time_of(const Value& value, std::string_view key) const {
        std::size_t used = 0;
        double count = -1;
        try {
            count = std::stod(value.text, &used);
        } catch (const std::exception&) {
        }
        const std::string unit = value.text.substr(std::min(used, value.text.size()));
        const std::pair<std::string_view, Millis> units[] = {
            {"ms", 1}, {"s", 1000}, {"m", 60000}, {"P", period_}};
        for (const auto& [name, length] : units)
            if (unit == name && count >= 0 && std::isfinite(count)) return count * length;
        wrong(key, value, "a time as \"250ms\" or \"15P\"");
    }
    template <class T, std::size_t n>
    T one_of(std::string_view key, const Words<T, n>& words) {
        const Value* const value = take(key);
        if (!value) fail("'" + std::string(key) + "' is missing");
        for (const auto& [word, is] : words)
            if (value->type == Value::Type::text && value->text == word) return is;
        wrong(key, *value, "a word that is known");
    }
    [[noreturn]] void wrong(std::string_view key, const Value& value, const std::string& wanted) const {
        fault(path_, value.at.line, "'" + std::string(key) + "' is not " + wanted);
    }

private:
    const std::string& path_;
    int line_;
    Millis period_;
    std::vector<const Entry*> left_;
};

class Reader {
public:
    Reader(const std::string& path, const Overrides& overrides) : path_(path), overrides_(overrides) {}

    Experiment read(const Value& root) {
        // The period first: times are told in it.
        period(root);
        Table top(root, path_, e_.period);
        head(top);
        const Value* const steps = top.take("step");
        const Value* const conditions = top.take("condition");
        top.end();
        if (steps) gather_impostors(*steps);
        if (steps) each(*steps, [&](Table& t) { step(t); });
        if (conditions) each(*conditions, [&](Table& t) { condition(t); });
        if (e_.conditions.empty()) top.fail("no condition: nothing would be tested");
        std::stable_sort(e_.steps.begin(), e_.steps.end(),
                         [](const Step& a, const Step& b) { return a.at < b.at; });
        return std::move(e_);
    }

private:
    void period(const Value& root) {
        Table top(root, path_, 0);
        e_.period = top.time("probe_period", 200);
        if (overrides_.period) {
            Value value;
            value.text = *overrides_.period;
            e_.period = top.time_of(value, "--probe-period");
        }
        if (e_.period < 100) top.fail("'probe_period' is not 100ms or more");
    }
    void head(Table& top) {
        top.take("probe_period");
        e_.title = top.text("title").value_or("");
        if (e_.title.empty()) top.fail("'title' is missing");
        e_.members = top.whole("members", 2, kMostMembers, 7);
        if (overrides_.members) e_.members = *overrides_.members;
        if (e_.members < 2 || e_.members > kMostMembers) top.fail("2 to 4000 members");
        e_.servers = top.whole("servers", 1, kMostServers, 2);
        const std::size_t seed = top.whole("seed", 0, 1ull << 62, 1);
        e_.seed = overrides_.seed.value_or(seed);
        e_.clients = top.number("clients_per_second", 0, 1000).value_or(0);
        e_.settles_within = top.time("settles_within", 60 * e_.period);
        e_.least = top.time("least");
        e_.drain = top.time("drain", 1000);
        e_.answer_after = top.time("answer_after");
        e_.limits = top.text("limits").value_or("");
    }
    template <class Body>
    void each(const Value& array, Body body) {
        if (array.type != Value::Type::array) fault(path_, array.at.line, "an array of tables was expected");
        for (const Value& item : array.items) {
            Table table(item, path_, e_.period);
            body(table);
            table.end();
        }
    }

    // ---- Who

    [[noreturn]] void no_such(const Value& value) {
        fault(path_, value.at.line,
              "\"" + value.text +
                  "\" is none of: all, a name as s3, a range as s1..s4, a part as \"part 1/3\"");
    }
    std::optional<std::size_t> named(const std::string& text, char letter, std::size_t count) {
        if (text.size() < 2 || text.size() > 6 || text[0] != letter) return std::nullopt;
        if (!std::all_of(text.begin() + 1, text.end(), [](char c) { return c >= '0' && c <= '9'; }))
            return std::nullopt;
        const std::size_t place = std::stoul(text.substr(1));
        return place >= 1 && place <= count ? std::optional(place - 1) : std::nullopt;
    }
    std::vector<std::size_t> selected(const Value& value, bool nodes) {
        std::vector<std::size_t> all(e_.members);
        std::iota(all.begin(), all.end(), 0);
        const std::string& text = value.text;
        if (value.type != Value::Type::text) no_such(value);
        if (text == "all") return all;
        if (const auto one = named(text, 's', e_.members)) return {*one};
        if (nodes && text.ends_with('\'')) {
            for (std::size_t i = 0; i < e_.impostors; ++i)
                if (e_.node_name(e_.members + i) == text) return {e_.members + i};
            no_such(value);
        }
        if (const auto dots = text.find(".."); dots != std::string::npos) {
            const auto first = named(text.substr(0, dots), 's', e_.members);
            const auto last = named(text.substr(dots + 2), 's', e_.members);
            if (!first || !last || *first > *last) no_such(value);
            return {all.begin() + static_cast<std::ptrdiff_t>(*first),
                    all.begin() + static_cast<std::ptrdiff_t>(*last) + 1};
        }
        unsigned part = 0, parts = 0;
        char rest = 0;
        if (std::sscanf(text.c_str(), "part %u/%u%c", &part, &parts, &rest) != 2 || part < 1 || part > parts)
            no_such(value);
        std::erase_if(all, [&](std::size_t i) { return i * parts / e_.members != part - 1; });
        return all;
    }
    std::vector<std::size_t> who(const Value& value, bool nodes = false) {
        std::vector<std::size_t> all;
        const auto add = [&](const Value& item) {
            for (const std::size_t one : selected(item, nodes))
                if (std::find(all.begin(), all.end(), one) == all.end()) all.push_back(one);
        };
        if (value.type == Value::Type::array)
            for (const Value& item : value.items) add(item);
        else
            add(value);
        if (all.empty()) fault(path_, value.at.line, "that is nobody");
        return all;
    }
    // `key`, less those of "not_KEY"; all where not given.
    std::vector<std::size_t> who(Table& t, const std::string& key, bool nodes = false) {
        Value all;
        all.type = Value::Type::text;
        all.text = "all";
        const Value* const value = t.take(key);
        std::vector<std::size_t> chosen = who(value ? *value : all, nodes);
        if (const Value* const but = t.take("not_" + key)) {
            const std::vector<std::size_t> out = who(*but, nodes);
            std::erase_if(chosen,
                          [&](std::size_t i) { return std::find(out.begin(), out.end(), i) != out.end(); });
            if (chosen.empty()) t.fail("'" + key + "' leaves nobody");
        }
        return chosen;
    }
    std::vector<std::size_t> required(Table& t, const std::string& key, bool nodes = false) {
        if (!t.has(key)) t.fail("'" + key + "' is missing");
        return who(t, key, nodes);
    }
    std::string names(const std::vector<std::size_t>& nodes) const {
        if (nodes.size() == e_.members && nodes.back() == e_.members - 1) return "all";
        std::vector<std::string> parts;
        for (std::size_t i = 0; i < nodes.size();) {
            std::size_t j = i;
            while (j + 1 < nodes.size() && nodes[j + 1] == nodes[j] + 1 && nodes[j + 1] < e_.members) ++j;
            parts.push_back(j > i + 1 ? e_.node_name(nodes[i]) + ".." + e_.node_name(nodes[j])
                                      : e_.node_name(nodes[i]));
            i = j > i + 1 ? j + 1 : i + 1;
        }
        return join(parts);
    }

    // ---- Steps

    // Impostors are numbered before anything names them.
    void gather_impostors(const Value& steps) {
        if (steps.type != Value::Type::array) return;
        for (const Value& item : steps.items) {
            Table t(item, path_, e_.period);
            const Value* const what = t.take("do");
            if (!what || what->text != "impostor") continue;
            for (const Member m : required(t, "members")) {
                e_.impostor_of.push_back(m);
                ++e_.impostors;
            }
        }
    }

    void step(Table& t);
    void condition(Table& t);

    const std::string& path_;
    const Overrides& overrides_;
    Experiment e_;
};

void Reader::step(Table& t) {
    Step s;
    s.what = t.one_of("do", kSteps);
    s.at = t.time("at");
    s.lasts = t.time("for");
    s.text = std::string(word_of(kSteps, s.what));
    const auto link = [&] {
        s.from = required(t, "from", true);
        s.to = required(t, "to", true);
        s.text += " " + names(s.from) + " to " + names(s.to);
    };
    switch (s.what) {
        case Step::Do::kill:
        case Step::Do::stop:
        case Step::Do::go_on:
        case Step::Do::terminate:
        case Step::Do::start:
        case Step::Do::restart:
            s.members = required(t, "members", true);
            s.every = t.time("every");
            break;
        case Step::Do::impostor:
            s.members = required(t, "members");
            break;
        case Step::Do::link:
            link();
            s.one_way = t.flag("one_way");
            s.loss = t.number("loss", 0, 1).value_or(0);
            s.doubled = t.number("double", 0, 1).value_or(0);
            s.reorder = t.number("reorder", 0, 1).value_or(0);
            s.delay = t.time("delay");
            s.jitter = t.time("jitter");
            s.hold = t.number("hold", 0, 1).value_or(0);
            s.flap = t.time("flap");
            if (s.loss > 0) s.text += ", " + std::to_string(std::lround(s.loss * 100)) + " % lost";
            if (s.delay + s.jitter > 0) s.text += ", delayed";
            if (s.doubled > 0) s.text += ", doubled";
            if (s.reorder > 0) s.text += ", out of order";
            if (s.hold > 0) s.text += ", held";
            if (s.one_way) s.text += ", one way";
            if (s.loss + s.doubled + s.reorder + s.hold + s.delay + s.jitter == 0)
                t.fail("a link that nothing befalls");
            break;
        case Step::Do::cut: {
            const Value* const groups = t.take("groups");
            if (!groups || groups->type != Value::Type::array || groups->items.size() < 2)
                t.fail("'groups' of two and more are missing");
            for (const Value& group : groups->items) s.groups.push_back(who(group));
            for (const auto& group : s.groups)
                s.text += (&group == s.groups.data() ? " " : " | ") + names(group);
            s.flap = t.time("flap");
            break;
        }
        case Step::Do::servers:
            s.from = required(t, "from");
            s.reset = t.flag("reset");
            s.delay = t.time("delay");
            s.text = names(s.from) + " to servers: " + (s.reset ? "reset" : s.delay > 0 ? "delayed" : "cut");
            break;
        case Step::Do::tape:
        case Step::Do::play:
            if (s.what == Step::Do::tape) link();
            s.tape = t.text("tape").value_or("tape");
            break;
        case Step::Do::noise:
        case Step::Do::flood:
        case Step::Do::lie:
            link();
            s.rate = t.number("rate", 0.01, 100000).value_or(10);
            if (s.what == Step::Do::lie) {
                const auto says = belief_of(t.text("says").value_or("failed"));
                if (!says || *says == Belief::unknown)
                    t.fail("'says' is none of: alive, suspect, failed, left");
                s.says = *says;
                s.text += ": all " + std::string(name_of(s.says));
                if (t.has("claims")) {
                    s.claims = required(t, "claims").front();
                    s.text += " as " + Experiment::name(*s.claims);
                }
            }
            break;
        case Step::Do::list:
            s.members = who(t, "members");
            s.fleet = required(t, "fleet");
            s.text += " " + names(s.fleet) + " at " + names(s.members);
            break;
        case Step::Do::limits:
            s.members = who(t, "members");
            s.limits = t.text("limits").value_or("");
            s.text += " at " + names(s.members);
            break;
        case Step::Do::demand:
            s.from = required(t, "from");
            s.rate = t.number("rate", 0.01, 10000).value_or(10);
            s.text += " of " + std::to_string(std::lround(s.rate)) + " a second at " + names(s.from);
            break;
    }
    const bool of_processes = s.what <= Step::Do::impostor;
    if (of_processes) s.text += " " + names(s.members);
    const bool lasting = s.what == Step::Do::link || s.what == Step::Do::cut || s.what == Step::Do::servers ||
                         s.what == Step::Do::tape || s.what == Step::Do::noise || s.what == Step::Do::flood ||
                         s.what == Step::Do::lie || s.what == Step::Do::demand;
    if (lasting && s.lasts <= 0) t.fail("'for' is missing: how long it lasts");
    if (!lasting && s.lasts > 0) t.fail("'for' is not known here");
    if (s.every <= 0 || s.members.size() == 1) {
        e_.steps.push_back(std::move(s));
        return;
    }
    for (std::size_t i = 0; i < s.members.size(); ++i) {
        Step one = s;
        one.members = {s.members[i]};
        one.at = s.at + static_cast<double>(i) * s.every;
        one.text = std::string(word_of(kSteps, s.what)) + " " + names(one.members);
        e_.steps.push_back(std::move(one));
    }
}

void Reader::condition(Table& t) {
    Condition c;
    c.line = t.line();
    c.kind = t.one_of("want", kConditions);
    c.after = t.time("after");
    c.within = t.time("within");
    c.text = std::string(word_of(kConditions, c.kind));
    const auto state = [&] {
        const auto is = belief_of(t.text("state").value_or("?"));
        if (!is || *is == Belief::unknown) t.fail("'state' is none of: alive, suspect, failed, left");
        c.belief = *is;
    };
    const auto observers = [&] {
        c.who_given = t.has("who");
        c.who = who(t, "who", true);
        c.text += ", by " + names(c.who);
    };
    switch (c.kind) {
        case Kind::all_hold:
        case Kind::never:
            c.members = required(t, "members");
            state();
            c.text += ": " + names(c.members) + " " + std::string(name_of(c.belief));
            observers();
            break;
        case Kind::views_equal:
            observers();
            break;
        case Kind::standing:
        case Kind::never_standing:
            c.standing = t.text("standing").value_or("");
            if (c.standing != "joined" && c.standing != "minority" && c.standing != "alone")
                t.fail("'standing' is none of: joined, minority, alone");
            c.text += " " + c.standing;
            observers();
            break;
        case Kind::answered:
            c.least = t.number("least", 0, 1).value_or(1);
            observers();
            break;
        case Kind::no_repeats:
            break;
        case Kind::datagrams:
            c.most = t.number("most", 0, 1e9).value_or(0);
            if (c.most <= 0) t.fail("'most' is missing");
            observers();
            break;
        case Kind::socket:
            c.most = t.time("most", 1000);
            observers();
            break;
        case Kind::ended:
            c.members = required(t, "members", true);
            c.status = static_cast<int>(t.whole("status", 0, 255, 0));
            c.text += " " + names(c.members);
            break;
        case Kind::busy:
            c.most = t.time("most");
            if (c.most <= 0) t.fail("'most' is missing");
            observers();
            break;
        case Kind::memory:
            c.most = t.number("most_kib", 1, 1e9).value_or(0);
            if (c.most <= 0) t.fail("'most_kib' is missing");
            break;
        case Kind::received:
            c.most = t.number("most", 0, 1e9).value_or(0);
            c.least = t.number("least", 0, 1e9).value_or(0);
            c.window = t.time("window", 1000);
            if (c.most <= 0 && c.least <= 0) t.fail("'most' or 'least' is missing");
            c.text += " by servers";
            break;
        case Kind::open:
            c.most = t.number("most", 1, 1e9).value_or(0);
            if (c.most <= 0) t.fail("'most' is missing");
            c.text += " at servers";
            break;
    }
    const bool eventual = c.kind == Kind::all_hold || c.kind == Kind::views_equal ||
                          c.kind == Kind::standing || c.kind == Kind::ended;
    if (eventual && c.within <= 0) t.fail("'within' is missing");
    e_.conditions.push_back(std::move(c));
}

}  // namespace

Record::Cast Experiment::cast() const {
    Record::Cast cast;
    for (Node n = 0; n < nodes(); ++n) {
        cast.nodes.push_back(node_name(n));
        cast.member_of.push_back(member_of(n));
    }
    for (Member m = 0; m < members; ++m) cast.members.push_back(name(m));
    for (std::size_t i = 0; i < servers; ++i) cast.servers.push_back("server" + std::to_string(i + 1));
    cast.period = period;
    return cast;
}

Experiment parse_experiment(const std::string& text, const std::string& path, const Overrides& overrides) {
    const Document document = config::read_document(text);
    if (document.error) fault(path, document.error->at.line, document.error->what);
    return Reader(path, overrides).read(document.root);
}

Experiment read_experiment(const std::string& path, const Overrides& overrides) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ExperimentError(path + ": can't be read");
    return parse_experiment(std::string(std::istreambuf_iterator<char>(file), {}), path, overrides);
}

}  // namespace whinledge::fleetrig
