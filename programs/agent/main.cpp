#include "programs/agent/agent.h"
#include "programs/common/daemon_main.h"

int main(int argc, char **argv)
{
    using namespace sycamorespan;
    return programs::daemonMain<agent::agent, settings::agent_settings>("sycamorespan-agent", argc,
                                                                        argv);
}
