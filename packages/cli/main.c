#include "aq_cli.h"

int
main(int argc, char **argv)
{
    return AqCli_Main(argc, argv);
}
