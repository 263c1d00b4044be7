#include "admission_level.h"

#include <glib.h>

/*
 * Below a level of 1, the factor is the inverse of the level. Above, queues make
 * the level change far more than the load, so the factor stays near 1 until
 * hosts are full.
 */
static const struct {
	double level;
	double factor;
} level_factors[] = {
	{ 0.5, 1.9 }, { 0.75, 1.27 }, { 0.95, 1.12 }, { 1.3, 1.03 },
	{ 1.7, 1 },   { 2.2, 0.95 },  { 3, 0.8 },     { 4, 0.5 },
};

double admission_level_factor(double level)
{
	const size_t count = G_N_ELEMENTS(level_factors);

	if (level <= level_factors[0].level)
		return level_factors[0].factor;
	for (size_t i = 1; i < count; i++) {
		double start = level_factors[i - 1].level;
		double end = level_factors[i].level;
		double part = (level - start) / (end - start);

		if (level < end)
			return level_factors[i - 1].factor * (1 - part) +
			       level_factors[i].factor * part;
	}
	return level_factors[count - 1].factor;
}
