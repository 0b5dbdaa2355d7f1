#pragma once

#include <galenarock/assignment.h>

namespace Galenarock
{

/// Width of the range as a share of the key space.
inline double widthShare(const SliceRange &range)
{
    return (static_cast<double>(range.last - range.first) + 1) * 0x1p-64;
}

}
