// Uses one coordination part, the fair queue, without any daemon. The parts don't read a clock: the
// program passes all times to them.
#include <iostream>

#include <sycamorespan/Pooling>

int main()
{
    using namespace sycamorespan;
    using namespace std::chrono_literals;

    fair_queue queue({});
    const time_point deadline{1s};
    for (request_id id = 1; id <= 6; ++id)
        queue.push({id, workspace_id("large"), 2ms, deadline});
    queue.push({7, workspace_id("small"), 2ms, deadline});

    const auto anyWorkspace = [](const workspace_id &) { return true; };
    while (const auto next = queue.pop(anyWorkspace))
        std::cout << next->workspace << " runs request " << next->id << '\n';
}
