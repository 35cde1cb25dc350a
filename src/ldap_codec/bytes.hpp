// Bytes that may hold credentials: whatever memory they had is wiped before it is given back.
#pragma once

#include <string.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace whinledge::ldap {

template <class T>
struct Wiping {
    using value_type = T;
    Wiping() = default;
    template <class U>
    Wiping(const Wiping<U>&) noexcept {}
    T* allocate(std::size_t n) { return std::allocator<T>().allocate(n); }
    void deallocate(T* at, std::size_t n) noexcept {
        ::explicit_bzero(at, n * sizeof(T));
        std::allocator<T>().deallocate(at, n);
    }
    bool operator==(const Wiping&) const { return true; }
};

// Texts of fewer than 16 bytes are held in the object itself, which is not wiped: no bind with a name is that
// short. There is always a readable byte behind the last one, as liblber wants it.
using Bytes = std::basic_string<char, std::char_traits<char>, Wiping<char>>;

inline Bytes bytes(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace whinledge::ldap
