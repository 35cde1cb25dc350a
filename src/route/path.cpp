#include "route/path.hpp"

#include <array>

#include "route/text.hpp"

namespace whinledge::route {

namespace {

// What a byte is in a path: of RFC 3986's pchar, and there unreserved; a slash; to be encoded; refused.
enum Kind : unsigned char { refused, encoded, plain, unreserved, slash, percent };

constexpr std::array<Kind, 256> make_kinds() {
    std::array<Kind, 256> kinds{};
    for (std::size_t c = 0x21; c < 256; ++c) kinds[c] = encoded;
    for (const unsigned char c : std::string_view("\\#?\x7f")) kinds[c] = refused;
    for (const unsigned char c : std::string_view("!$&'()*+,;=:@")) kinds[c] = plain;
    for (const unsigned char c : std::string_view("-._~0123456789")) kinds[c] = unreserved;
    for (unsigned char c = 'a'; c <= 'z'; ++c) kinds[c] = kinds[c - 'a' + 'A'] = unreserved;
    kinds['/'] = slash;
    kinds['%'] = percent;
    return kinds;
}
constexpr std::array<Kind, 256> kKinds = make_kinds();

Kind kind_of(char c) { return kKinds[static_cast<unsigned char>(c)]; }

// The byte of the triplet that starts there; -1: none.
int triplet(std::string_view path, std::size_t at) {
    if (at + 2 >= path.size()) return -1;
    const int high = hex_digit(path[at + 1]), low = hex_digit(path[at + 2]);
    return high < 0 || low < 0 ? -1 : high * 16 + low;
}

// Builds a path segment by segment.
class Writer {
public:
    Writer(std::string& out, bool merges) : out_(out), merges_(merges) { out_.assign(1, '/'); }

    void put(char c) { out_ += c; }
    void put_triplet(int byte) { append_triplet(out_, static_cast<unsigned char>(byte)); }
    // A segment ends, at a slash or with the path.
    bool end(bool last) {
        const std::string_view segment = std::string_view(out_).substr(start_);
        if (segment == "..") return climb();
        if (segment == ".") {
            out_.resize(start_);
            return true;
        }
        if (segment.starts_with("..;") || segment.starts_with(".;")) return false;
        if (last || (merges_ && segment.empty())) return true;
        out_ += '/';
        start_ = out_.size();
        return true;
    }

private:
    bool climb() {
        if (start_ == 1) return false;
        out_.resize(start_ - 1);
        start_ = out_.rfind('/') + 1;
        out_.resize(start_);
        return true;
    }

    std::string& out_;
    bool merges_;
    std::size_t start_ = 1;  // of the segment that is being written
};

}  // namespace

PathLook look_at(std::string_view path) {
    PathLook look;
    if (path.empty() || path.front() != '/' || path.size() > kLongestPath) return look;
    look.normal = true;
    char before = 0;
    for (std::size_t at = 0; at < path.size(); before = path[at++]) {
        const char c = path[at];
        const Kind kind = kind_of(c);
        if (kind == unreserved || kind == plain) {
            if (c == '.' && before == '/') look.normal = false;
        } else if (kind == slash) {
            if (before == '/') look.empty_segment = true;
        } else if (kind == refused) {
            return look;
        } else {
            look.normal = false;
            if (kind == encoded) continue;
            const int byte = triplet(path, at);
            if (byte <= 0) return look;
            if (byte == '/' || byte == '\\') look.encoded_slash = true;
        }
    }
    look.valid = true;
    return look;
}

bool read_path(std::string_view path, Reading reading, std::string& out) {
    Writer writer(out, reading.merges);
    for (std::size_t at = 1; at < path.size(); ++at) {
        int byte = static_cast<unsigned char>(path[at]);
        Kind kind = kKinds[static_cast<std::size_t>(byte)];
        if (kind == percent) {
            byte = triplet(path, at);
            at += 2;
            kind = kKinds[static_cast<std::size_t>(byte)];
            const bool parts = reading.parts_encoded && (byte == '/' || byte == '\\');
            kind = parts ? slash : kind == unreserved ? unreserved : encoded;
        }
        if (kind == slash) {
            if (!writer.end(false)) return false;
        } else if (kind == encoded) {
            writer.put_triplet(byte);
        } else {
            writer.put(static_cast<char>(byte));
        }
    }
    return writer.end(true);
}

}  // namespace whinledge::route
