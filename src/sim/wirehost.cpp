// The process that the simulator starts: the wire on standard input and output.
#include <iostream>

#include "sim/wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return kestrelhall::wire::Host(std::cin, std::cout, std::cerr).run();
}
