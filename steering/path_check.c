#include "steering/path_check.h"

#include "packet/transport.h"

/* Callers retransmit what takes longer. */
#define PROMPT_MAX_NS TRANSPORT_RETRANSMISSION_NS

void path_record_response(struct path_check *path, int64_t sent_ns,
			  int64_t now_ns)
{
	if (now_ns - sent_ns <= PROMPT_MAX_NS &&
	    sent_ns > path->prompt_since_ns)
		path->prompt_since_ns = sent_ns;
}

bool path_is_open(const struct path_check *path, int64_t since_ns)
{
	return path->prompt_since_ns >= since_ns;
}
