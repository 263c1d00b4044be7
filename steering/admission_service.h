#ifndef PARSLEYLADDER_STEERING_ADMISSION_SERVICE_H
#define PARSLEYLADDER_STEERING_ADMISSION_SERVICE_H

/**
 * Admission to one service: its load, the limit that follows from it, and the
 * priorities that share the limit. admission.c keeps one for each service.
 */

#include "steering/admission.h"

struct admission_service;

struct admission_service *admission_service_create(int64_t now_ns);
void admission_service_destroy(struct admission_service *service);
/** @load may be NULL. */
void admission_service_set_load(struct admission_service *service,
				const struct admission_load *load,
				int64_t now_ns);
/**
 * Evaluates the limit if an interval has ended since the last call. Returns
 * whether it has.
 */
bool admission_service_update(struct admission_service *service,
			      int64_t now_ns);
/** Decides about an opening packet; the service must be up to date. */
enum admission_reason admission_service_admit(struct admission_service *service,
					      uint8_t priority, int64_t now_ns,
					      GRand *random);
/** Fills all but the name. */
void admission_service_status(const struct admission_service *service,
			      int64_t now_ns, struct admission_status *status);

#endif
