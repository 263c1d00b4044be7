/* Guards against foreign datagrams that are taken for packets passed on. */

#include "packet/pass_header.h"

#include "samples.h"

static const uint8_t valid[PASS_HEADER_BYTES] = { 'P', 'L', 'P',  'H', 1, 3,
						  0,   0,   0x01, 2,   3, 4,
						  5,   6,   7,	  0xff };

START_TEST(write_and_read) {
	struct pass_header header = { 3, UINT64_C(0x01020304050607ff) };
	struct pass_header read;
	uint8_t bytes[PASS_HEADER_BYTES];

	pass_header_write(&header, bytes);
	ck_assert_mem_eq(bytes, valid, sizeof(valid));
	ck_assert(pass_header_read(bytes, sizeof(bytes), &read));
	ck_assert_uint_eq(read.hops, header.hops);
	ck_assert_uint_eq(read.sender_id, header.sender_id);
}
END_TEST

START_TEST(short_header_is_rejected) {
	struct pass_header header;

	ck_assert(!pass_header_read(valid, _i, &header));
}
END_TEST

/* Magic, version, hops 0 and reserved bytes. */
START_TEST(changed_byte_is_rejected) {
	static const struct {
		size_t at;
		uint8_t value;
	} rows[] = { { 0, 'p' }, { 3, 0 }, { 4, 0 }, { 4, 2 },
		     { 5, 0 },	 { 6, 1 }, { 7, 1 } };
	uint8_t bytes[PASS_HEADER_BYTES];
	struct pass_header header;

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		memcpy(bytes, valid, sizeof(bytes));
		bytes[rows[i].at] = rows[i].value;
		ck_assert(!pass_header_read(bytes, sizeof(bytes), &header));
	}
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("pass header");

	tcase_add_test(tests, write_and_read);
	tcase_add_loop_test(tests, short_header_is_rejected, 0,
			    PASS_HEADER_BYTES);
	tcase_add_test(tests, changed_byte_is_rejected);
	return sample_run("pass header", tests);
}
