// Entry point of anvilpostctl, the operators' command-line tool.
#include "ctl/commands.h"

int main(int argc, char** argv)
{
    return anvilpost::run_command(argc, argv);
}
