#include "sycamorespan/Core"

namespace sycamorespan {

static_assert(log_position{1, 9} < log_position{2, 0});
static_assert(time_point::clock::is_steady);

} // namespace sycamorespan
