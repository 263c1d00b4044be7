#ifndef PARSLEYLADDER_COMMON_NAME_H
#define PARSLEYLADDER_COMMON_NAME_H

/** Maximum length of a service, instance or availability zone name, no NUL. */
#define NAME_BYTES_MAX 63

#endif
