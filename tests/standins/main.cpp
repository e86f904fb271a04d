#include <standins/standinset.h>

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON file that lists the stand-ins to start");

using namespace ragwortreach::StandIns;

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        std::ifstream file(FLAGS_settings);
        boost::asio::io_context context;
        const std::vector<standin_server_ptr> servers = startStandIns(context, nlohmann::json::parse(file));
        for (const standin_server_ptr& server : servers)
            std::cout << server->address() << std::endl;
        context.run();
    } catch (const std::exception& error) {
        std::cerr << "standin: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
