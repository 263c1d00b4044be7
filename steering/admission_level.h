#ifndef PARSLEYLADDER_STEERING_ADMISSION_LEVEL_H
#define PARSLEYLADDER_STEERING_ADMISSION_LEVEL_H

/**
 * Factor by which the flows that keep hosts busy but rarely full differ from
 * those that were admitted when @level, busy over usable slots, was caused.
 */
double admission_level_factor(double level);

#endif
