#include "peer/zap.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

#include "common/log.h"
#include "peer/zmq_source.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_FRAMES 7
#define ZAP_FRAME_BYTES_MAX 256
#define CURVE_KEY_BYTES 32
#define CURVE_KEY_TEXT 41

/* Frames of a request, in order. */
enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN_NAME,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
};

struct zap_request {
	unsigned int count;
	struct {
		uint8_t data[ZAP_FRAME_BYTES_MAX];
		size_t length;
	} frames[ZAP_FRAMES];
};

struct zap {
	void *socket;
	const struct key_ring *ring;
	GSource *source;
	uint64_t refused;
};

/* Reads one request; false if there is none. */
static bool request_receive(struct zap *zap, struct zap_request *request)
{
	int more = 1;
	size_t size = sizeof(more);

	request->count = 0;
	while (more) {
		uint8_t data[ZAP_FRAME_BYTES_MAX];
		int length =
			zmq_recv(zap->socket, data, sizeof(data), ZMQ_DONTWAIT);

		if (length < 0)
			return false;
		if (length > (int)sizeof(data))
			length = sizeof(data);
		if (request->count < ZAP_FRAMES) {
			memcpy(request->frames[request->count].data, data,
			       length);
			request->frames[request->count].length = length;
		}
		request->count++;
		zmq_getsockopt(zap->socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

static bool frame_is(const struct zap_request *request, enum zap_frame frame,
		     const char *text)
{
	size_t length = strlen(text);

	return request->frames[frame].length == length &&
	       memcmp(request->frames[frame].data, text, length) == 0;
}

static int request_key(const struct zap *zap, const struct zap_request *request)
{
	char text[CURVE_KEY_TEXT];

	if (request->count != ZAP_FRAMES ||
	    !frame_is(request, ZAP_VERSION, "1.0") ||
	    !frame_is(request, ZAP_MECHANISM, "CURVE") ||
	    request->frames[ZAP_CREDENTIALS].length != CURVE_KEY_BYTES)
		return KEY_RING_UNKNOWN;
	zmq_z85_encode(text, request->frames[ZAP_CREDENTIALS].data,
		       CURVE_KEY_BYTES);
	return key_ring_find(zap->ring, text);
}

static void frame_send(struct zap *zap, const void *data, size_t length,
		       int flags)
{
	zmq_send(zap->socket, data, length, flags | ZMQ_DONTWAIT);
}

static void text_send(struct zap *zap, const char *text, int flags)
{
	frame_send(zap, text, strlen(text), flags);
}

static void reply_send(struct zap *zap, const struct zap_request *request,
		       int key)
{
	bool is_accepted = key != KEY_RING_UNKNOWN;
	char user[16] = "";

	if (is_accepted)
		g_snprintf(user, sizeof(user), "%d", key);
	text_send(zap, "1.0", ZMQ_SNDMORE);
	frame_send(zap, request->frames[ZAP_REQUEST_ID].data,
		   request->frames[ZAP_REQUEST_ID].length, ZMQ_SNDMORE);
	text_send(zap, is_accepted ? "200" : "400", ZMQ_SNDMORE);
	text_send(zap, is_accepted ? "OK" : "key not accepted", ZMQ_SNDMORE);
	text_send(zap, user, ZMQ_SNDMORE);
	text_send(zap, "", 0);
}

static void refusal_log(const struct zap_request *request)
{
	log_event(LOG_LEVEL_WARNING, "peer_refused", "address=%.*s",
		  request->count > ZAP_ADDRESS
			  ? (int)request->frames[ZAP_ADDRESS].length
			  : 0,
		  (const char *)request->frames[ZAP_ADDRESS].data);
}

static gboolean zap_dispatch(gpointer context)
{
	struct zap *zap = context;
	struct zap_request request;

	memset(&request, 0, sizeof(request));
	if (!request_receive(zap, &request))
		return G_SOURCE_CONTINUE;
	reply_send(zap, &request, request_key(zap, &request));
	if (request_key(zap, &request) == KEY_RING_UNKNOWN) {
		zap->refused++;
		refusal_log(&request);
	}
	return G_SOURCE_CONTINUE;
}

struct zap *zap_create(void *zmq_context, const struct key_ring *ring,
		       struct error *error)
{
	struct zap *zap = g_new0(struct zap, 1);
	int linger = 0;

	zap->ring = ring;
	zap->socket = zmq_socket(zmq_context, ZMQ_REP);
	if (!zap->socket || zmq_bind(zap->socket, ZAP_ENDPOINT) != 0) {
		error_set(error, ERROR_INTERNAL, "authentication handler: %s",
			  zmq_strerror(errno));
		zap_destroy(zap);
		return NULL;
	}
	zmq_setsockopt(zap->socket, ZMQ_LINGER, &linger, sizeof(linger));
	zap->source = zmq_source_create(zap->socket, zap_dispatch, zap);
	return zap;
}

void zap_destroy(struct zap *zap)
{
	if (!zap)
		return;
	zmq_source_destroy(zap->source);
	if (zap->socket)
		zmq_close(zap->socket);
	g_free(zap);
}

uint64_t zap_refused(const struct zap *zap)
{
	return zap->refused;
}
