#include <standins/standinset.h>

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>

DEFINE_string(settings, "", "JSON file that names the servers to play");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        std::ifstream file(FLAGS_settings);
        const nlohmann::json settings = nlohmann::json::parse(file);
        boost::asio::io_context context;
        const ragwortreach::StandIns::standin_set standins(context, settings);
        for (const std::string& address : standins.addresses())
            std::cout << address << std::endl;
        context.run();
    } catch (const std::exception& error) {
        std::cerr << "standin: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
