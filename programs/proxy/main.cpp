#include "programs/common/daemon_main.h"
#include "programs/proxy/proxy.h"

int main(int argc, char **argv)
{
    using namespace sycamorespan;
    return programs::daemonMain<proxy::proxy, settings::proxy_settings>("sycamorespan-proxy", argc,
                                                                        argv);
}
