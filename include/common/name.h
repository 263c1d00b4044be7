#ifndef PARSLEYLADDER_COMMON_NAME_H
#define PARSLEYLADDER_COMMON_NAME_H

/** Longest name of a service, instance or availability zone, without the NUL. */
#define NAME_BYTES_MAX 63

#endif
