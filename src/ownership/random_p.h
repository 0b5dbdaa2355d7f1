#pragma once

#include <cstdint>

namespace Galenarock
{

/// Finalizer of splitmix64; a bijection, so distinct inputs give distinct outputs.
inline std::uint64_t mixBits(std::uint64_t n)
{
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9;
    n = (n ^ (n >> 27)) * 0x94d049bb133111eb;
    return n ^ (n >> 31);
}

/// splitmix64: 2^64 distinct values from one seed.
inline std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15;
    return mixBits(state);
}

/// Like nextRandom(), never zero.
inline std::uint64_t nextNonce(std::uint64_t &state)
{
    const auto n = nextRandom(state);
    return n != 0 ? n : nextRandom(state);
}

}
