#include "base/process_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

uint64_t process_resident_bytes(void)
{
    uint64_t total = 0;
    uint64_t resident = 0;
    FILE *file = fopen("/proc/self/statm", "re");
    if (file == NULL) {
        return 0;
    }
    int read = fscanf(file, "%" SCNu64 " %" SCNu64, &total, &resident);
    fclose(file);
    return read == 2 ? resident * (uint64_t)sysconf(_SC_PAGESIZE) : 0;
}
