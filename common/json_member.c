#include "common/json_member.h"

void json_member_string(JsonBuilder *builder, const char *name,
			const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

void json_member_integer(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

void json_member_boolean(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}
